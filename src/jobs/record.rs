//! Stored forms of jobs and their keys.
//!
//! A job is two items: its body, written once at acceptance, and its progress,
//! written again whenever a run is placed or ends. A finished job is one small
//! progress record without a body.

use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

use crate::jobs::types::JobSpec;
use crate::jobs::types::JobState;

/// Prefix of the keys by which entry VMs find each other.
pub const MEMBER_PREFIX: &str = "chicory/member/";

/// A stored record that cannot be read.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("step=record key={key}: {source}"))]
pub struct RecordError {
    key: String,
    source: rmp_serde::decode::Error,
}

/// A record that cannot be written.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("step=encode: {source}"))]
pub struct EncodeError {
    source: rmp_serde::encode::Error,
}

/// Chains of commits of a shard. Several are used only while the store is slow: at a
/// quarter of a second a commit, one would carry a hundred records a second.
pub const LANE_COUNT: usize = 8;

/// Keys of a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShardKeys {
    /// Number of the shard.
    pub shard: u32,
}

impl ShardKeys {
    /// Key of the owner; it goes with the owner's lease.
    #[must_use]
    pub fn owner(self) -> String {
        format!("{MEMBER_PREFIX}owner/{}", self.shard)
    }

    /// Key of a chain of commits; that of lane 0 also carries the epoch.
    #[must_use]
    pub fn chain(self, lane: usize) -> String {
        format!("chicory/chain/{}/{lane}", self.shard)
    }

    /// Prefix of the bodies.
    #[must_use]
    pub fn bodies(self) -> String {
        format!("chicory/job/{}/", self.shard)
    }

    /// Prefix of the progress records.
    #[must_use]
    pub fn progress(self) -> String {
        format!("chicory/run/{}/", self.shard)
    }

    /// Prefix of the waves' progress.
    #[must_use]
    pub fn waves(self) -> String {
        format!("chicory/wave/{}/", self.shard)
    }

    /// Key of the leases of silent workers.
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

/// Owner of a shard, or an entry VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the entry VM.
    pub name: String,
    /// Where other entry VMs reach it.
    pub address: String,
    /// Epoch of the ownership; 0 for an entry VM.
    pub epoch: u64,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Share of a core that the entry VM may use, in thousandths.
    pub share: u64,
}

/// Value of the chain key: who wrote last, and which commit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ChainRecord {
    /// Epoch of the writer.
    pub epoch: u64,
    /// Number of the commit in this epoch.
    pub commit: u64,
    /// Name of the owner.
    pub holder: String,
}

/// Body of a job.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct BodyRecord {
    /// Queue that took it.
    pub queue: String,
    /// Pool of the queue at that time.
    pub pool: String,
    /// When it came, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// The job.
    pub spec: JobSpec,
}

/// A run that may be alive at a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlacedRecord {
    /// Life of the worker.
    pub worker: String,
    /// Start of that life, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Number of the run.
    pub run: u32,
}

/// Progress of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TaskRecord {
    /// Highest number of a run.
    pub runs: u32,
    /// Runs that failed.
    pub failed: u32,
    /// Whether a run has finished the work.
    pub done: bool,
    /// Newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Runs that may be alive.
    pub placed: Vec<PlacedRecord>,
}

/// Progress of an occurrence; one list of tasks a step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OccurrenceRecord {
    /// Number of the occurrence.
    pub number: u32,
    /// Tasks by step.
    pub steps: Vec<Vec<TaskRecord>>,
}

/// Progress of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProgressRecord {
    /// State as shown to callers.
    pub state: JobState,
    /// When it was written, in milliseconds since the Unix epoch.
    pub written_ms: u64,
    /// Occurrences that are complete, in order.
    pub finished: Vec<u32>,
    /// Occurrences in progress.
    pub open: Vec<OccurrenceRecord>,
}

/// Progress of a wave: the VMs whose maintenance was ordered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WaveRecord {
    /// VMs.
    pub ordered: Vec<String>,
    /// Whether the whole wave is complete.
    pub complete: bool,
}

/// Encodes a record.
///
/// # Errors
///
/// Fails if the encoder does, which no record of this module brings about.
pub fn encode<T: Serialize>(record: &T) -> Result<Vec<u8>, EncodeError> {
    rmp_serde::to_vec(record).context(EncodeSnafu)
}

/// Decodes the record under a key.
///
/// # Errors
///
/// Fails if the bytes are not such a record.
pub fn decode<'a, T: Deserialize<'a>>(key: &str, bytes: &'a [u8]) -> Result<T, RecordError> {
    rmp_serde::from_slice(bytes).context(RecordSnafu { key })
}
