//! Records of jobs in the store, and their keys.
//!
//! A job is stored as two items: its body, written once at acceptance, and its
//! progress, written again whenever a run is placed or ends. Of a finished job only
//! a small progress record is left, without a body, once none of its runs may be alive.
//!
//! A shard is a set of jobs with their workers and VMs. It has one owner at a time,
//! an entry VM that schedules it, and an epoch that increases with each ownership. The
//! owner stores its changes in chains of commits, called lanes.

use serde::Deserialize;
use serde::Serialize;

use crate::jobs::account::AccountName;
use crate::jobs::codec::EncodeError;
use crate::jobs::codec::RecordError;
use crate::jobs::codec::decode_rest;
use crate::jobs::codec::encode;
use crate::jobs::codec::encode_with;
use crate::jobs::codec::read_with;
use crate::jobs::loss_record::LossRecord;
use crate::jobs::terms::JobTerms;
use crate::jobs::terms::decode_terms;
use crate::jobs::terms::encode_terms;
use crate::jobs::types::JobSpec;
use crate::jobs::types::JobState;

/// Prefix of the keys of entry VMs and shard owners, through which entry VMs find
/// each other.
pub const MEMBER_PREFIX: &str = "chicory/member/";

/// Number of chains of commits of a shard. More than one is used only while the store
/// is slow: at 250 ms a commit, one chain would only store about 100 records a second.
pub const LANE_COUNT: usize = 8;

/// The store's keys of a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShardKeys {
    /// Number of the shard.
    pub shard: u32,
}

impl ShardKeys {
    /// Key of the owner; it is attached to the owner's lease and deleted with it.
    #[must_use]
    pub fn owner(self) -> String {
        format!("{MEMBER_PREFIX}owner/{}", self.shard)
    }

    /// Key of a chain of commits; the key of lane 0 also holds the shard's epoch.
    #[must_use]
    pub fn chain(self, lane: usize) -> String {
        format!("chicory/chain/{}/{lane}", self.shard)
    }

    /// Prefix of the jobs' bodies.
    #[must_use]
    pub fn bodies(self) -> String {
        format!("chicory/job/{}/", self.shard)
    }

    /// Prefix of the jobs' progress records.
    #[must_use]
    pub fn progress(self) -> String {
        format!("chicory/run/{}/", self.shard)
    }

    /// Prefix of the maintenance waves' progress records.
    #[must_use]
    pub fn waves(self) -> String {
        format!("chicory/wave/{}/", self.shard)
    }

    /// Key of the leases of unresponsive workers.
    #[must_use]
    pub fn unresponsive(self) -> String {
        format!("chicory/silent/{}", self.shard)
    }

    /// Key of the permits to order VMs.
    #[must_use]
    pub fn permits(self) -> String {
        format!("chicory/permit/{}", self.shard)
    }
}

/// Key of an entry VM.
#[must_use]
pub fn entry_vm_key(name: &str) -> String {
    format!("{MEMBER_PREFIX}node/{name}")
}

/// An entry VM, or the owner of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the entry VM.
    pub name: String,
    /// Address at which other entry VMs reach it.
    pub address: String,
    /// Epoch of the ownership; 0 in the record of an entry VM.
    pub epoch: u64,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// CPU that the entry VM may use, in millicores.
    pub share: u64,
}

/// Value of a chain key: the last commit of the chain and its writer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChainRecord {
    /// Epoch of the owner that wrote it.
    pub epoch: u64,
    /// Number of the commit in this epoch.
    pub commit: u64,
    /// Name of that owner.
    pub holder: String,
}

/// Body of a job.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct BodyRecord {
    /// Queue that accepted it.
    pub queue: String,
    /// Pool of the queue at acceptance; used if the queue is no longer configured.
    pub pool: String,
    /// When it was submitted, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// The job as submitted.
    pub spec: JobSpec,
    /// Client account that submitted it; none if its queue needs no API key. It is encoded
    /// as a [`BodyExtension`].
    #[serde(skip)]
    pub account: Option<AccountName>,
    /// What it was accepted under; none if an earlier version has accepted it. They are encoded
    /// with [`encode_terms`] after the [`BodyExtension`].
    #[serde(skip)]
    pub terms: Option<JobTerms>,
}

/// Fields of a job's body that are encoded after it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct BodyExtension {
    /// Client account that submitted the job.
    pub account: Option<String>,
}

/// Encodes a job's body.
///
/// # Errors
///
/// Fails if the encoder fails.
pub fn encode_body(body: &BodyRecord) -> Result<Vec<u8>, EncodeError> {
    if body.account.is_none() && body.terms.is_none() {
        return encode(body);
    }
    let extension = BodyExtension {
        account: body.account.as_ref().map(ToString::to_string),
    };
    let mut bytes = encode_with(body, &extension)?;
    if let Some(terms) = body.terms {
        // Earlier versions ignore what follows the extension that they know.
        bytes.extend(encode_terms(terms)?);
    }
    Ok(bytes)
}

/// Decodes a job's body that is stored under `key`.
///
/// # Errors
///
/// Fails if `bytes` is not an encoded body.
pub fn decode_body(key: &str, mut bytes: &[u8]) -> Result<BodyRecord, RecordError> {
    let (body, extension): (BodyRecord, Option<BodyExtension>) = read_with(key, &mut bytes)?;
    let account = extension.and_then(|extension| extension.account);
    Ok(BodyRecord {
        account: account.map(Into::into),
        terms: decode_terms(key, bytes)?,
        ..body
    })
}

/// A run that may be alive at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlacedRecord {
    /// Identifier of the worker.
    pub worker: String,
    /// Start of the worker's incarnation, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Number of the run.
    pub run: u32,
}

/// Progress of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaskRecord {
    /// Number of the latest run; 0 if there was none.
    pub runs: u32,
    /// Number of runs that failed.
    pub failed: u32,
    /// Whether a run has finished the work.
    pub done: bool,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Runs that may be alive.
    pub placed: Vec<PlacedRecord>,
}

/// Progress of an occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OccurrenceRecord {
    /// Number of the occurrence.
    pub number: u32,
    /// One list of tasks for each step, both in the order of the job.
    pub steps: Vec<Vec<TaskRecord>>,
}

/// Progress of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProgressRecord {
    /// State as shown to callers.
    pub state: JobState,
    /// When the record was written, in milliseconds since the Unix epoch.
    pub written_ms: u64,
    /// Numbers of the finished occurrences, ascending; empty like `open`.
    pub finished: Vec<u32>,
    /// Occurrences in progress, by ascending number; empty once the job is finished and none
    /// of its runs may be alive.
    pub open: Vec<OccurrenceRecord>,
    /// Client account of a finished job, whose body is removed. It is encoded as a
    /// [`ProgressExtension`].
    #[serde(skip)]
    pub account: Option<AccountName>,
    /// Losses of unfinished tasks. They are encoded after the [`ProgressExtension`].
    #[serde(skip)]
    pub losses: Vec<LossRecord>,
}

/// Fields of a progress record that are encoded after it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProgressExtension {
    /// Client account that submitted the job.
    pub account: Option<String>,
}

/// Encodes a progress record; the account only if the job is finished.
///
/// # Errors
///
/// Fails if the encoder fails.
pub fn encode_progress(record: &ProgressRecord) -> Result<Vec<u8>, EncodeError> {
    let account = record.account.as_ref().filter(|_| record.state.is_final());
    if account.is_none() && record.losses.is_empty() {
        return encode(record);
    }
    let extension = ProgressExtension {
        account: account.map(ToString::to_string),
    };
    let mut bytes = encode_with(record, &extension)?;
    if !record.losses.is_empty() {
        // Earlier versions ignore what follows the extension that they know.
        bytes.extend(encode(&record.losses)?);
    }
    Ok(bytes)
}

/// Decodes a progress record that is stored under `key`.
///
/// # Errors
///
/// Fails if `bytes` is not an encoded progress record.
pub fn decode_progress(key: &str, mut bytes: &[u8]) -> Result<ProgressRecord, RecordError> {
    let (record, extension): (ProgressRecord, Option<ProgressExtension>) =
        read_with(key, &mut bytes)?;
    let account = extension.and_then(|extension| extension.account);
    let losses: Option<Vec<LossRecord>> = decode_rest(key, bytes)?;
    Ok(ProgressRecord {
        account: account.map(Into::into),
        losses: losses.unwrap_or_default(),
        ..record
    })
}

/// Progress of a maintenance wave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WaveRecord {
    /// Names of the VMs whose maintenance was ordered.
    pub ordered: Vec<String>,
    /// Whether no VM is left to maintain and all are back in service.
    pub complete: bool,
}

/// What was added to [`WaveRecord`] later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WaveExtension {
    /// When an owner first learnt of the wave, in milliseconds since the Unix epoch.
    pub seen_unix_ms: u64,
}
