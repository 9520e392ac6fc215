//! One commit of a chain, retried until its outcome is known.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::jobs::codec::decode;
use crate::jobs::codec::encode;
use crate::jobs::record::ChainRecord;
use crate::jobs::record::ShardKeys;
use crate::jobs::writes::WriteBatch;
use crate::platform::backoff::BackoffState;
use crate::ports::StoreCall;
use crate::ports::StoreReply;
use crate::ports::store::StoreCommit;
use crate::ports::store::StoreItem;
use crate::ports::store::StoreWrite;
use crate::service::jobs::messages::CommitOutcome;
use crate::service::jobs::messages::OwnerEvent;
use crate::service::jobs::store::StoreLink;
use crate::service::jobs::watch::STORE_BACKOFF;

/// Time limit of the first attempt; a slow store answers in a quarter of a second.
const FIRST_ATTEMPT_LIMIT: Duration = Duration::from_millis(400);

/// Time limit of each further attempt.
const RETRY_LIMIT: Duration = Duration::from_millis(600);

/// Attempts without an outcome after which the commit is reported as delayed. The first
/// may have failed on a dead connection; the second uses another one or another entry
/// VM.
const DELAYED_ATTEMPTS: u32 = 2;

/// A commit to one of the shard's chains.
#[derive(Clone, Debug)]
pub struct ChainCommit {
    /// Epoch of the ownership.
    pub epoch: u64,
    /// Name of the owner.
    pub holder: String,
    /// Lane of the chain.
    pub lane: usize,
    /// Number of the commit in this chain and epoch.
    pub number: u64,
    /// Revision that the chain key must have for the commit to take effect.
    pub chain_revision: u64,
    /// Changes of the scheduler.
    pub batch: WriteBatch,
    /// Further writes, such as the status of waves or the owner's key.
    pub extra_writes: Vec<StoreWrite>,
    /// Keys that must not exist for the commit to take effect.
    pub absent_keys: Vec<String>,
}

/// Commits and reports the outcome to `events`. All attempts require the same revision
/// of the chain key, so at most one takes effect.
pub async fn run(link: StoreLink, commit: ChainCommit, events: mpsc::UnboundedSender<OwnerEvent>) {
    let Some(call) = build_call(&commit) else {
        let outcome = CommitOutcome::Deposed;
        let _ = events.send(OwnerEvent::CommitReported(
            commit.lane,
            Box::new(commit.batch),
            outcome,
        ));
        return;
    };
    let mut backoff = BackoffState::new(STORE_BACKOFF);
    let mut attempts = 0;
    loop {
        attempts += 1;
        let limit = if attempts == 1 {
            FIRST_ATTEMPT_LIMIT
        } else {
            RETRY_LIMIT
        };
        let outcome = match link.call(&call, limit).await {
            Ok(StoreReply::Committed(revision)) => Some(CommitOutcome::Stored(revision)),
            Ok(StoreReply::Conflict(items)) => Some(resolve_conflict(&commit, &items)),
            Ok(StoreReply::NoLease) => Some(CommitOutcome::ReclaimFailed),
            Ok(reply) => {
                log::info!(event = "commit_refused", number = commit.number, reply:? = reply; "");
                None
            }
            Err(error) => {
                log::info!(event = "commit_unknown", number = commit.number, error:% = error; "");
                None
            }
        };
        if let Some(outcome) = outcome {
            // The receiver is dropped only when the ownership ends.
            let _ = events.send(OwnerEvent::CommitReported(
                commit.lane,
                Box::new(commit.batch),
                outcome,
            ));
            return;
        }
        if attempts == DELAYED_ATTEMPTS {
            let batch = Box::new(commit.batch.clone());
            let _ = events.send(OwnerEvent::CommitReported(
                commit.lane,
                batch,
                CommitOutcome::Delayed,
            ));
        }
        if attempts > 1 {
            sleep(backoff.next_pause(rand::random())).await;
        }
    }
}

/// Returns the outcome after a conflict: an earlier attempt may have taken effect, which
/// the record under the chain key shows.
fn resolve_conflict(commit: &ChainCommit, items: &[StoreItem]) -> CommitOutcome {
    let key = ShardKeys::default().chain(commit.lane);
    let Some(item) = items.iter().find(|item| item.key == key) else {
        log::error!(event = "chain_missing", epoch = commit.epoch; "");
        return CommitOutcome::Deposed;
    };
    let record: ChainRecord = match decode(&item.key, &item.value) {
        Ok(record) => record,
        Err(error) => {
            log::error!(event = "chain_unreadable", error:% = error; "");
            return CommitOutcome::Deposed;
        }
    };
    if record.epoch == commit.epoch && record.commit == commit.number {
        return CommitOutcome::Stored(item.revision);
    }
    if item.revision == commit.chain_revision {
        // The chain key is unchanged, so one of `absent_keys` exists.
        return CommitOutcome::ReclaimFailed;
    }
    log::warn!(
        event = "commit_conflict", epoch = commit.epoch, number = commit.number,
        stored_epoch = record.epoch, stored_number = record.commit; ""
    );
    CommitOutcome::Deposed
}

/// Returns the store call of a commit; none if its chain record cannot be encoded.
fn build_call(commit: &ChainCommit) -> Option<StoreCall> {
    let keys = ShardKeys::default();
    let record = ChainRecord {
        epoch: commit.epoch,
        commit: commit.number,
        holder: commit.holder.clone(),
    };
    let value = match encode(&record) {
        Ok(value) => value,
        Err(error) => {
            log::error!(event = "commit_encode_failed", error:% = error; "");
            return None;
        }
    };
    let mut writes = vec![StoreWrite {
        key: keys.chain(commit.lane),
        value,
        lease: 0,
    }];
    writes.extend(commit.batch.writes.iter().cloned());
    writes.extend(commit.extra_writes.iter().cloned());
    let mut expected = vec![(keys.chain(commit.lane), commit.chain_revision)];
    expected.extend(commit.absent_keys.iter().map(|key| (key.clone(), 0)));
    Some(StoreCall::Commit(StoreCommit {
        expected,
        writes,
        removals: commit.batch.removals.clone(),
    }))
}
