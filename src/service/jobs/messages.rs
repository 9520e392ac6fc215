//! Messages between the services, and between entry VMs.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::jobs::actions::CallToken;
use crate::jobs::actions::CallerAnswer;
use crate::jobs::config::JobConfig;
use crate::jobs::orders::CallResult;
use crate::jobs::record::MemberRecord;
use crate::jobs::types::JobSpec;
use crate::jobs::types::JobState;
use crate::jobs::types::TaskId;
use crate::jobs::wave::WaveOrder;
use crate::jobs::writes::WriteBatch;
use crate::ports::AdviceReply;
use crate::ports::FleetCall;
use crate::ports::FleetReply;
use crate::ports::WorkerEntry;
use crate::ports::store::LeaseId;

/// A caller's request as it is passed to the owner.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct RelayRequest {
    /// Identifier of the job; empty for a queue.
    pub job: String,
    /// Queue.
    pub queue: String,
    /// Pool of the queue.
    pub pool: String,
    /// What is asked.
    pub ask: RelayOperation,
    /// Version of the configuration by which the queue was found.
    pub version: u64,
}

/// What a caller asks.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum RelayOperation {
    /// Takes a job.
    Submit(JobSpec),
    /// State of a job.
    Query,
    /// Cancels a job.
    Cancel,
    /// Counts waiting jobs.
    Pending,
}

/// Answer of the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RelayReply {
    /// Stored.
    Accepted,
    /// Cancelled.
    Cancelled,
    /// State.
    State(JobState),
    /// Count.
    Pending(u64),
    /// No such job.
    Unknown,
    /// No such queue.
    NoQueue,
    /// Makes no sense.
    Invalid,
    /// Not run, and never will by this submission.
    Refused {
        /// When to come back, in milliseconds.
        retry_ms: u64,
    },
    /// This entry VM does not own the shard; nothing was done.
    NotOwner,
    /// The ownership ended before the answer; it may have been done.
    Lost,
}

impl From<CallerAnswer> for RelayReply {
    fn from(answer: CallerAnswer) -> Self {
        match answer {
            CallerAnswer::Accepted => Self::Accepted,
            CallerAnswer::Cancelled => Self::Cancelled,
            CallerAnswer::State(state) => Self::State(state),
            CallerAnswer::Pending(count) => Self::Pending(count),
            CallerAnswer::Unknown => Self::Unknown,
            CallerAnswer::NoQueue => Self::NoQueue,
            CallerAnswer::Invalid => Self::Invalid,
            CallerAnswer::Refused { retry_ms } => Self::Refused { retry_ms },
        }
    }
}

/// What entry VMs tell each other about themselves.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct ExchangeMessage {
    /// Name of the sender.
    pub name: String,
    /// Owner of the shard as the sender knows it.
    pub owner: Option<MemberRecord>,
    /// Whether the sender owns the shard.
    pub owning: bool,
    /// Version of the sender's configuration.
    pub version: u64,
    /// The configuration, if the receiver's is known to be older.
    pub config: Option<JobConfig>,
    /// Waves that the sender knows.
    pub waves: Vec<WaveOrder>,
}

/// A call to the store on behalf of an entry VM that it turns away.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ProxyRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// Limit on the call, in milliseconds.
    pub limit_ms: u64,
}

/// What became of it.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum ProxyReply {
    /// The store's answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// The call was not sent.
    NotSent,
    /// The call was sent and not answered.
    Unknown,
}

/// An event for the scheduler.
#[derive(Debug)]
pub enum OwnerEvent {
    /// A caller's request and where its answer goes.
    Relay(RelayRequest, oneshot::Sender<RelayReply>),
    /// What became of a call to a worker.
    WorkerCallCompleted {
        /// Which call.
        token: CallToken,
        /// Result.
        result: CallResult,
        /// When it was sent, on the boot clock.
        sent_ms: u64,
    },
    /// What became of a call to the list of VMs.
    FleetCallCompleted(FleetCall, Option<FleetReply>),
    /// What the advice service said.
    AdviceCompleted(TaskId, Vec<String>, Option<AdviceReply>),
    /// All workers' entries.
    WorkersSynced(Vec<WorkerEntry>),
    /// A worker's entry.
    WorkerListed(WorkerEntry),
    /// A worker's entry is gone.
    WorkerUnlisted(String),
    /// What became of a commit in a chain.
    CommitReported(usize, Box<WriteBatch>, CommitOutcome),
    /// The owner's key is to be put back under this lease, which holds until this
    /// time on the boot clock.
    OwnerKeyLost(LeaseId, u64),
}

/// What became of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect with this revision of the chain key.
    Stored(u64),
    /// Nothing was stored: the lease for the owner's key is gone, or the key is there.
    ReclaimFailed,
    /// Another owner has written the chain key.
    Deposed,
    /// It is not known yet, or the store takes no commits; it is being repeated.
    Delayed,
}

/// The owner's inbox, while this entry VM owns the shard.
pub type OwnerInbox = watch::Receiver<Option<mpsc::UnboundedSender<OwnerEvent>>>;

/// What the operator has put into the store.
#[derive(Clone, Debug, Default)]
pub struct OperatorState {
    /// Configuration in force.
    pub config: Option<Arc<JobConfig>>,
    /// Waves by number.
    pub waves: Vec<WaveOrder>,
}

/// A view of what the operator has put into the store.
pub type OperatorView = watch::Receiver<OperatorState>;

/// Entry VMs and owner as this entry VM knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberState {
    /// Whether the store was read at least once.
    pub synced: bool,
    /// Owner of the shard and the revision of its key.
    pub owner: Option<(MemberRecord, u64)>,
    /// Owner whose key is gone, until there is another.
    pub former_owner: Option<MemberRecord>,
    /// Addresses of other entry VMs by name.
    pub nodes: Vec<(String, SocketAddr)>,
    /// Share of a core of the largest entry VM, in thousandths.
    pub max_share_millicores: u64,
    /// Latest start of an entry VM, in milliseconds since the Unix epoch.
    pub latest_start_ms: u64,
}

/// A view of the members.
pub type MemberView = watch::Receiver<MemberState>;

/// Collects an event and those that wait behind it, `most` in all; the rest stays.
pub fn collect_batch<T>(
    first: T,
    received: &mut mpsc::UnboundedReceiver<T>,
    most: usize,
) -> Vec<T> {
    let mut burst = vec![first];
    while burst.len() < most
        && let Ok(event) = received.try_recv()
    {
        burst.push(event);
    }
    burst
}
