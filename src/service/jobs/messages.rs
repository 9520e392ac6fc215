//! Messages between the services of an entry VM, and between entry VMs.
//!
//! Messages between entry VMs are encoded as MessagePack arrays, so the order of
//! their fields and the names of their variants are part of the protocol.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::jobs::account::AccountDirectory;
use crate::jobs::actions::CallToken;
use crate::jobs::actions::CallerAnswer;
use crate::jobs::codec::EncodeError;
use crate::jobs::codec::RecordError;
use crate::jobs::codec::decode_rest;
use crate::jobs::codec::encode;
use crate::jobs::codec::encode_with;
use crate::jobs::codec::read_with;
use crate::jobs::config::AccountExtension;
use crate::jobs::config::JobConfig;
use crate::jobs::orders::CallResult;
use crate::jobs::record::MemberRecord;
use crate::jobs::terms::JobTerms;
use crate::jobs::terms::decode_terms;
use crate::jobs::terms::encode_terms;
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

/// A caller's request as it is relayed to the owner.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct RelayRequest {
    /// Identifier of the job; empty for a request about a queue.
    pub job: String,
    /// Name of the queue.
    pub queue: String,
    /// Pool of the queue in the sender's configuration.
    pub pool: String,
    /// Requested operation.
    pub ask: RelayOperation,
    /// Version of the configuration in which the sender looked up the queue.
    pub version: u64,
    /// Client account of the caller; none if the queue needs no API key. It is encoded as
    /// a [`RelayExtension`].
    #[serde(skip)]
    pub account: Option<String>,
    /// Terms of the queue in the sender's configuration, with a submission; none from an entry
    /// VM of an earlier version. They are encoded after the [`RelayExtension`].
    #[serde(skip)]
    pub terms: Option<JobTerms>,
}

/// Fields of a relayed request that are encoded after it. It must not gain further ones:
/// decoders reject a longer list.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct RelayExtension {
    /// Client account of the caller.
    pub account: Option<String>,
}

impl RelayRequest {
    /// Encodes the request for another entry VM.
    ///
    /// # Errors
    ///
    /// Fails if the encoder fails.
    pub fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        let account = self.account.clone();
        let mut bytes = encode_with(self, &RelayExtension { account })?;
        if let Some(terms) = self.terms {
            bytes.extend(encode_terms(terms)?);
        }
        Ok(bytes)
    }

    /// Decodes a request of another entry VM.
    ///
    /// # Errors
    ///
    /// Fails if `bytes` is not an encoded request.
    pub fn decode(mut bytes: &[u8]) -> Result<Self, RecordError> {
        let (request, extension): (Self, Option<RelayExtension>) = read_with("relay", &mut bytes)?;
        Ok(Self {
            account: extension.unwrap_or_default().account,
            terms: decode_terms("relay", bytes)?,
            ..request
        })
    }
}

/// Operation that a caller requests.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub enum RelayOperation {
    /// Submits a job.
    Submit(JobSpec),
    /// Returns the state of a job.
    Query,
    /// Cancels a job.
    Cancel,
    /// Counts the queue's accepted jobs of which no task has started.
    Pending,
}

/// The owner's answer to a relayed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RelayReply {
    /// The job is stored.
    Accepted,
    /// The job is cancelled, or had already ended.
    Cancelled,
    /// State of the job.
    State(JobState),
    /// Number of pending jobs.
    Pending(u64),
    /// There is no such job.
    Unknown,
    /// There is no such queue.
    NoQueue,
    /// The submission is invalid.
    Invalid,
    /// The job was not accepted and will not run because of this submission.
    Refused {
        /// Delay before the caller retries, in milliseconds.
        retry_ms: u64,
    },
    /// The receiver does not own the shard; nothing was done.
    NotOwner,
    /// The ownership ended before the answer; the request may have been carried out.
    Lost,
    /// The identifier is that of a job of another account; nothing was done. Last, since
    /// entry VMs of earlier versions do not know it: their caller gets a 504.
    Conflict,
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
            CallerAnswer::Conflict => Self::Conflict,
        }
    }
}

/// State that two entry VMs exchange, as request and as answer.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct ExchangeMessage {
    /// Name of the sending entry VM.
    pub name: String,
    /// Owner of the shard, as far as the sender knows.
    pub owner: Option<MemberRecord>,
    /// Whether the sender owns the shard.
    pub owning: bool,
    /// Version of the sender's configuration; 0 if it has none.
    pub version: u64,
    /// The sender's configuration, if the receiver's is known to be older.
    pub config: Option<JobConfig>,
    /// Maintenance waves that the sender knows.
    pub waves: Vec<WaveOrder>,
    /// Fields that are encoded after the message. None from an entry VM of an earlier
    /// version, which knows no accounts.
    #[serde(skip)]
    pub extension: Option<ExchangeExtension>,
}

/// Fields of an exchange message that are encoded after it. It must not gain further ones:
/// decoders reject a longer list. They belong in another value after it.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ExchangeExtension {
    /// The part of the message's configuration about client accounts.
    pub accounts: Option<AccountExtension>,
    /// Time since the sender's configuration was confirmed as current, in milliseconds; none
    /// if it was not.
    pub age_ms: Option<u64>,
}

impl ExchangeMessage {
    /// Encodes the message for another entry VM.
    ///
    /// # Errors
    ///
    /// Fails if the encoder fails.
    pub fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        let mut bytes = encode_with(self, &self.extension)?;
        let head_bytes = self.config.as_ref().map(|config| config.head_bytes);
        bytes.extend(encode(&head_bytes)?);
        Ok(bytes)
    }

    /// Decodes a message of another entry VM.
    ///
    /// # Errors
    ///
    /// Fails if `bytes` is not an encoded message.
    pub fn decode(mut bytes: &[u8]) -> Result<Self, RecordError> {
        let (message, extension): (Self, Option<Option<ExchangeExtension>>) =
            read_with("exchange", &mut bytes)?;
        let head_bytes: Option<Option<usize>> = decode_rest("exchange", bytes)?;
        let config = message.config.map(|config| JobConfig {
            head_bytes: head_bytes.flatten().unwrap_or_default(),
            ..config
        });
        Ok(Self {
            config,
            extension: extension.flatten(),
            ..message
        })
    }
}

/// A store call that the receiver makes for an entry VM whose own calls fail.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ProxyRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: Vec<u8>,
    /// Time limit of the call, in milliseconds.
    pub limit_ms: u64,
}

/// Result of a store call made for another entry VM.
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
    /// The call was sent and not answered; it may still take effect.
    Unknown,
}

/// An event for the shard owner, which applies it to the scheduler.
#[derive(Debug)]
pub enum OwnerEvent {
    /// A caller's request and the channel for its answer.
    Relay(RelayRequest, oneshot::Sender<RelayReply>),
    /// A call to a worker ended.
    WorkerCallCompleted {
        /// Identifies the call.
        token: CallToken,
        /// Result of the call.
        result: CallResult,
        /// When the call was sent, in milliseconds on the boot clock.
        sent_ms: u64,
    },
    /// A call to the platform's list of VMs ended; no reply if it failed.
    FleetCallCompleted(FleetCall, Option<FleetReply>),
    /// A call to the advice service ended: the step, the workers that were asked
    /// about, and the reply; no reply if it failed.
    AdviceCompleted(TaskId, Vec<String>, Option<AdviceReply>),
    /// The complete list of worker entries was read.
    WorkersSynced(Vec<WorkerEntry>),
    /// A worker's entry was written.
    WorkerListed(WorkerEntry),
    /// The entry of the named worker was removed or cannot be read.
    WorkerUnlisted(String),
    /// Outcome of a commit in a lane. A commit may report
    /// [`Delayed`](CommitOutcome::Delayed) first and its final outcome later.
    CommitReported(usize, Box<WriteBatch>, CommitOutcome),
    /// The owner's key is gone and must be written again under this lease, which is
    /// valid until this time in milliseconds on the boot clock.
    OwnerKeyLost(LeaseId, u64),
}

/// Outcome of a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The commit took effect and gave the chain key this revision.
    Stored(u64),
    /// Nothing was stored, since the owner's key could not be written again: its
    /// lease has ended, or the key exists.
    ReclaimFailed,
    /// Another owner has written the chain key, or the chain record is missing or cannot
    /// be encoded or decoded.
    Deposed,
    /// The result is not known yet, or the store rejects commits; the commit is being
    /// retried.
    Delayed,
}

/// Sender of events to the shard owner; none while this entry VM does not own the
/// shard.
pub type OwnerInbox = watch::Receiver<Option<mpsc::UnboundedSender<OwnerEvent>>>;

/// A configuration that was rejected, so that it is logged only once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RejectedConfig {
    /// Its version or, if it cannot be decoded, the revision of its item in the store.
    pub number: u64,
    /// Reason, as in the log.
    pub reason: &'static str,
}

/// The operator's configuration and waves, as read from the store or from other
/// entry VMs.
#[derive(Clone, Debug, Default)]
pub struct OperatorState {
    /// Configuration in force; none until one was read.
    pub config: Option<Arc<JobConfig>>,
    /// Accounts of that configuration by API key; none if calls need no keys.
    pub accounts: Option<Arc<AccountDirectory>>,
    /// The last configuration that was rejected.
    pub rejected: Option<RejectedConfig>,
    /// Requested maintenance waves, in the order in which they became known.
    pub waves: Vec<WaveOrder>,
}

/// A view of the operator's configuration and waves.
pub type OperatorView = watch::Receiver<OperatorState>;

/// The entry VMs and the owner of the shard, as far as this entry VM knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberState {
    /// Whether the store was read at least once.
    pub synced: bool,
    /// Owner of the shard and the revision of its key; the revision is 0 if another
    /// entry VM reported the owner.
    pub owner: Option<(MemberRecord, u64)>,
    /// Last owner whose key was removed, until there is a new owner.
    pub former_owner: Option<MemberRecord>,
    /// Names and control addresses of the other entry VMs.
    pub nodes: Vec<(String, SocketAddr)>,
    /// Largest CPU share of an entry VM, in millicores.
    pub max_share_millicores: u64,
    /// Start of the entry VM that started last, in milliseconds since the Unix epoch.
    pub latest_start_ms: u64,
}

/// A view of the entry VMs and the owner of the shard.
pub type MemberView = watch::Receiver<MemberState>;

/// Returns `first` and the events that are queued after it, at most `max` in all;
/// further ones stay in the queue.
pub fn collect_batch<T>(first: T, receiver: &mut mpsc::UnboundedReceiver<T>, max: usize) -> Vec<T> {
    let mut batch = vec![first];
    while batch.len() < max
        && let Ok(event) = receiver.try_recv()
    {
        batch.push(event);
    }
    batch
}
