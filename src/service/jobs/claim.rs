//! Bidding for the shard and keeping its lease.
//!
//! The owner's key goes with a lease of the store; the chain key stays and carries
//! the epoch. Taking the shard is one commit that needs the owner's key to be free
//! and moves the chain, so the former owner's commits fail from then on.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::clock::boot_ms;
use crate::jobs::record::ChainRecord;
use crate::jobs::record::LANE_COUNT;
use crate::jobs::record::MemberRecord;
use crate::jobs::record::ShardKeys;
use crate::jobs::record::decode;
use crate::jobs::record::encode;
use crate::ports::StoreCall;
use crate::ports::StoreReply;
use crate::ports::store::LeaseId;
use crate::ports::store::StoreCommit;
use crate::ports::store::StoreWrite;
use crate::service::jobs::messages::OwnerEvent;
use crate::service::jobs::settings::NodeSettings;
use crate::service::jobs::store::StoreLink;

/// Limit on a call of a bid.
const BID_LIMIT: Duration = Duration::from_millis(1000);

/// Renewals in a time to live.
const RENEWALS: u32 = 5;

/// Limit on a renewal; several fit into a time to live.
const RENEW_LIMIT: Duration = Duration::from_millis(500);

/// A shard that was won.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimedShard {
    /// Epoch.
    pub epoch: u64,
    /// Revision of the chain keys.
    pub chain_revision: u64,
    /// Lease of the owner's key.
    pub lease: LeaseId,
    /// Until when the ownership is sure, on the boot clock.
    pub valid_until_ms: u64,
    /// Record under the owner's key.
    pub record: MemberRecord,
}

/// Bids for the shard; `held` is the revision of the owner's key, 0 if there is none.
pub async fn claim_shard(
    settings: &NodeSettings,
    link: &StoreLink,
    held: u64,
    started_ms: u64,
) -> Option<ClaimedShard> {
    let keys = ShardKeys::default();
    let ttl_ms = settings.owner_ttl.as_millis() as u64;
    let sent_ms = boot_ms();
    let grant = StoreCall::Grant { ttl_ms };
    let StoreReply::Lease { id: lease, ttl_ms } = call(link, &grant).await? else {
        return None;
    };
    let (last, revision) = read_chain(link).await?;
    let epoch = last.epoch + 1;
    let record = MemberRecord {
        name: settings.name.clone(),
        address: settings.control.to_string(),
        epoch,
        started_ms,
        share: settings.share_millicores(),
    };
    let chain = ChainRecord {
        epoch,
        commit: 0,
        holder: settings.name.clone(),
    };
    let chain = encode(&chain).ok()?;
    let mut writes = vec![write(keys.owner(), encode(&record).ok()?, lease)];
    // All chains move, so that no commit of the former owner takes effect any more.
    writes.extend((0..LANE_COUNT).map(|lane| write(keys.chain(lane), chain.clone(), 0)));
    let commit = StoreCommit {
        expected: vec![(keys.owner(), held), (keys.chain(0), revision)],
        writes,
        removals: Vec::new(),
    };
    let reply = call(link, &StoreCall::Commit(commit)).await;
    if let Some(StoreReply::Committed(chain_revision)) = reply {
        return Some(ClaimedShard {
            epoch,
            chain_revision,
            lease,
            valid_until_ms: sent_ms + ttl_ms,
            record,
        });
    }
    log::info!(event = "bid_lost", epoch = epoch, reply:? = reply; "");
    // If it took effect all the same, the key goes with its lease.
    call(link, &StoreCall::Revoke(lease)).await;
    None
}

/// Reads who wrote the chain last, and the revision of its key.
async fn read_chain(link: &StoreLink) -> Option<(ChainRecord, u64)> {
    let key = ShardKeys::default().chain(0);
    let StoreReply::Item(item) = call(link, &StoreCall::Get { key }).await? else {
        return None;
    };
    let Some(item) = item else {
        return Some((ChainRecord::default(), 0));
    };
    match decode(&item.key, &item.value) {
        Ok(record) => Some((record, item.revision)),
        Err(error) => {
            log::error!(event = "chain_unreadable", error:% = error; "");
            None
        }
    }
}

/// Tells whether the last owner was an earlier life of this process, or there was none.
pub async fn was_last_owner(settings: &NodeSettings, link: &StoreLink) -> bool {
    let last = read_chain(link).await;
    last.is_some_and(|(last, _)| last.holder.is_empty() || last.holder == settings.name)
}

/// Makes the write that puts the owner's key back.
pub(super) fn owner_key_write(record: &MemberRecord, lease: LeaseId) -> Option<StoreWrite> {
    let value = encode(record).ok()?;
    Some(write(ShardKeys::default().owner(), value, lease))
}

fn write(key: String, value: Vec<u8>, lease: LeaseId) -> StoreWrite {
    StoreWrite { key, value, lease }
}

async fn call(link: &StoreLink, call: &StoreCall) -> Option<StoreReply> {
    match link.call(call, BID_LIMIT).await {
        Ok(reply) => Some(reply),
        Err(error) => {
            log::info!(event = "bid_failed", error:% = error; "");
            None
        }
    }
}

/// How sure an ownership is; shared with all that gives orders.
#[derive(Debug, Default)]
pub struct OwnerValidity {
    /// Until when it is sure, on the boot clock.
    valid_until_ms: AtomicU64,
    /// Lease under which the owner's key was last put into the store.
    lease: AtomicU64,
}

impl OwnerValidity {
    /// Begins a validity.
    #[must_use]
    pub fn new(lease: LeaseId, valid_until_ms: u64) -> Self {
        Self {
            valid_until_ms: AtomicU64::new(valid_until_ms),
            lease: AtomicU64::new(lease),
        }
    }

    /// Returns until when the ownership is sure, on the boot clock.
    #[must_use]
    pub fn valid_until_ms(&self) -> u64 {
        self.valid_until_ms.load(Ordering::Relaxed)
    }

    /// Takes in that the owner's key stands in the store under another lease, which
    /// holds until `valid_until_ms`.
    pub fn reclaim(&self, lease: LeaseId, valid_until_ms: u64) {
        self.lease.store(lease, Ordering::Relaxed);
        self.valid_until_ms
            .fetch_max(valid_until_ms, Ordering::Relaxed);
    }

    /// Takes in a renewal; one of a lease without the owner's key proves nothing,
    /// since another owner may have taken the shard in the meantime.
    pub fn renewed(&self, lease: LeaseId, valid_until_ms: u64) {
        if self.lease.load(Ordering::Relaxed) == lease {
            self.valid_until_ms
                .fetch_max(valid_until_ms, Ordering::Relaxed);
        }
    }
}

/// Renews the owner's lease for ever and keeps the validity up to date.
///
/// The ownership counts from the sending of each renewal. If the lease is gone, a
/// new one is granted and the scheduler is told to put its key back; likewise if the
/// key alone is gone, which `check` says.
pub async fn renew(
    settings: NodeSettings,
    link: StoreLink,
    mut lease: LeaseId,
    validity: Arc<OwnerValidity>,
    check: Arc<Notify>,
    events: mpsc::UnboundedSender<OwnerEvent>,
) {
    let ttl_ms = settings.owner_ttl.as_millis() as u64;
    let period = settings.owner_ttl / RENEWALS;
    loop {
        let asked = timeout(period, check.notified()).await.is_ok();
        let sent_ms = boot_ms();
        match link.call(&StoreCall::Renew(lease), RENEW_LIMIT).await {
            // The lease holds and the key is gone: the key was removed by itself.
            Ok(StoreReply::Done) if asked => {
                validity.renewed(lease, sent_ms + ttl_ms);
                if events
                    .send(OwnerEvent::OwnerKeyLost(lease, sent_ms + ttl_ms))
                    .is_err()
                {
                    return;
                }
            }
            Ok(StoreReply::Done) => validity.renewed(lease, sent_ms + ttl_ms),
            Ok(StoreReply::NoLease) => {
                log::warn!(event = "owner_lease_gone", lease = lease; "");
                let grant = StoreCall::Grant { ttl_ms };
                let sent_ms = boot_ms();
                if let Ok(StoreReply::Lease { id, .. }) = link.call(&grant, RENEW_LIMIT).await {
                    lease = id;
                    if events
                        .send(OwnerEvent::OwnerKeyLost(id, sent_ms + ttl_ms))
                        .is_err()
                    {
                        return;
                    }
                }
            }
            Ok(reply) => log::info!(event = "renew_refused", reply:? = reply; ""),
            Err(error) => log::info!(event = "renew_failed", error:% = error; ""),
        }
    }
}
