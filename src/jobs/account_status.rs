//! Usage of the client accounts for operators: a snapshot, and metrics by account.

use std::collections::BTreeMap;

use crate::jobs::engine::JobEngine;
use crate::jobs::types::ResourceVector;

/// Maximum number of accounts with metrics of their own; the others share one label.
const MAX_LABELS: usize = 100;

/// Label of the accounts beyond [`MAX_LABELS`].
const OTHER_LABEL: &str = "other";

/// Time between two updates of the metrics, in milliseconds.
const UPDATE_MS: u64 = 500;

/// Time between two updates for each job in progress, in milliseconds, so that updates use
/// a constant share of CPU time as the number of jobs grows.
const UPDATE_MS_PER_JOB: f64 = 0.25;

/// What an account uses and may use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccountStatus {
    /// Resources of its runs that may be alive.
    pub usage: ResourceVector,
    /// Resources that it may use; 0 for no limit.
    pub limit: ResourceVector,
    /// Its share of a full pool; 0 if it is not configured.
    pub weight: f64,
    /// Jobs in progress without a run.
    pub waiting_jobs: usize,
    /// Jobs with a run that may be alive.
    pub running_jobs: usize,
    /// Whether the configuration has the account.
    pub configured: bool,
}

impl JobEngine {
    /// Returns the status of all accounts that are configured or have jobs, by name.
    #[must_use]
    pub fn account_status(&self) -> BTreeMap<String, AccountStatus> {
        let mut accounts: BTreeMap<String, AccountStatus> = BTreeMap::new();
        for config in self.config.accounts.iter().flatten() {
            let status = AccountStatus {
                limit: config.limit,
                weight: config.weight,
                configured: true,
                ..AccountStatus::default()
            };
            accounts.insert(config.name.clone(), status);
        }
        for (name, usage) in self.ledger.accounts() {
            accounts.entry(name.to_string()).or_default().usage = *usage;
        }
        for job in self.jobs.values() {
            let Some(name) = &job.body.account else {
                continue;
            };
            if !accounts.contains_key(&**name) {
                accounts.insert(name.to_string(), AccountStatus::default());
            }
            let Some(status) = accounts.get_mut(&**name) else {
                continue;
            };
            if job.live_runs().next().is_some() {
                status.running_jobs += 1;
            } else if !job.state.is_final() {
                status.waiting_jobs += 1;
            }
        }
        accounts
    }

    /// Updates the metrics by account, if an update is due and there are accounts.
    pub(crate) fn update_account_metrics(&mut self, now: u64) {
        let period_ms = UPDATE_MS + (self.jobs.len() as f64 * UPDATE_MS_PER_JOB) as u64;
        let has_accounts = self.config.accounts.is_some() || !self.limits.labels.is_empty();
        if !has_accounts || now < self.limits.metrics_ms + period_ms {
            return;
        }
        self.limits.metrics_ms = now;
        // Labels of former accounts stay, with a value of 0.
        let known = self.limits.labels.iter();
        let mut rows: BTreeMap<String, (u64, usize)> =
            known.map(|label| (label.clone(), (0, 0))).collect();
        for (name, status) in self.account_status() {
            let row = rows.entry(self.account_label(&name)).or_default();
            row.0 += status.usage.cpu;
            row.1 += status.waiting_jobs;
        }
        for (label, (cpu, waiting)) in rows {
            let labels = [("account", label)];
            metrics::gauge!("chicory_account_cpu_millicores", &labels).set(cpu as f64);
            metrics::gauge!("chicory_account_waiting_jobs", &labels).set(waiting as f64);
        }
        let mut waits = std::mem::take(&mut self.limits.waits);
        for (name, wait) in &mut waits {
            let checks = std::mem::take(&mut wait.checks);
            let label = self.account_label(name);
            metrics::counter!("chicory_account_limit_waits_total", "account" => label)
                .increment(checks);
        }
        waits.retain(|_, wait| wait.is_pending());
        self.limits.waits = waits;
    }

    /// Returns the label of an account in metrics: its name for the first [`MAX_LABELS`].
    pub(crate) fn account_label(&mut self, name: &str) -> String {
        let labels = &mut self.limits.labels;
        if !labels.contains(name) {
            if labels.len() >= MAX_LABELS {
                return OTHER_LABEL.to_owned();
            }
            labels.insert(name.to_owned());
        }
        name.to_owned()
    }
}
