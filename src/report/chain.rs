//! Checks the chains of digests, which show whether a row or version is missing or
//! was altered.

use serde::Deserialize;
use serde::Serialize;

use crate::audit::AuditRow;
use crate::audit::chain_digest;
use crate::report::AuditTrail;
use crate::report::ReportEvidence;

/// Result of checking one chain.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChainFinding {
    /// Name of the chain: `config`, or `audit/<dc>` for a data centre.
    pub chain: String,
    /// Number of rows or versions in the chain.
    pub length: usize,
    /// Sequence of the first row, or first version, that is missing or does not match the
    /// chain; `None` if the chain is intact.
    pub broken_at: Option<u64>,
}

/// Checks the chains of the versions and of each data centre.
#[must_use]
pub fn check_chains(evidence: &ReportEvidence) -> Vec<ChainFinding> {
    let mut findings = vec![check_versions(evidence)];
    findings.extend(evidence.trails.iter().map(check_trail));
    findings
}

fn check_versions(evidence: &ReportEvidence) -> ChainFinding {
    let mut chain = evidence.chain.as_str();
    let mut broken_at = None;
    let first = evidence.versions.first().map_or(0, |first| first.version);
    for (expected, version) in (first..).zip(&evidence.versions) {
        if version.version != expected || version.chain_digest(chain) != version.chain {
            broken_at = Some(expected);
            break;
        }
        chain = &version.chain;
    }
    ChainFinding {
        chain: "config".to_owned(),
        length: evidence.versions.len(),
        broken_at,
    }
}

fn check_trail(trail: &AuditTrail) -> ChainFinding {
    let mut before = AuditRow::default();
    let mut broken_at = None;
    for row in &trail.rows {
        let follows = row.sequence == before.sequence + 1;
        if !follows || row.digest != chain_digest(&before.digest, row) {
            broken_at = Some(before.sequence + 1);
            break;
        }
        before.sequence = row.sequence;
        before.digest.clone_from(&row.digest);
    }
    ChainFinding {
        chain: format!("audit/{}", trail.dc),
        length: trail.rows.len(),
        broken_at,
    }
}
