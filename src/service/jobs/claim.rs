//! Claiming the shard and renewing the owner's lease.
//!
//! The owner's key is attached to a lease in the store and is deleted when that lease
//! ends; the chain keys stay and carry the epoch. A claim is one commit. It requires
//! that the owner's key does not exist, or is that of an earlier incarnation of this
//! process, and that the chain key of lane 0 is unchanged since it was read. It writes
//! all chain keys, so that the former owner's commits fail from then on.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::clock::boot_ms;
use crate::jobs::codec::decode;
use crate::jobs::codec::encode;
use crate::jobs::record::ChainRecord;
use crate::jobs::record::LANE_COUNT;
use crate::jobs::record::MemberRecord;
use crate::jobs::record::ShardKeys;
use crate::ports::StoreCall;
use crate::ports::StoreReply;
use crate::ports::store::LeaseId;
use crate::ports::store::StoreCommit;
use crate::ports::store::StoreWrite;
use crate::service::jobs::messages::OwnerEvent;
use crate::service::jobs::settings::NodeSettings;
use crate::service::jobs::store::StoreLink;

/// Time limit of each store call of a claim.
const CLAIM_LIMIT: Duration = Duration::from_millis(1000);

/// Renewals of the lease within its time to live.
const RENEWALS_PER_TTL: u32 = 5;

/// Time limit of a renewal; several renewals fit into the lease's time to live.
const RENEW_LIMIT: Duration = Duration::from_millis(500);

/// A shard that this entry VM has claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimedShard {
    /// Epoch of the ownership; one more than that of the owner before.
    pub epoch: u64,
    /// Revision of all chain keys.
    pub chain_revision: u64,
    /// Lease to which the owner's key is attached.
    pub lease: LeaseId,
    /// Until when the ownership is guaranteed, in milliseconds on the boot clock: the
    /// lease's time to live, counted from before its creation was requested.
    pub valid_until_ms: u64,
    /// Value of the owner's key.
    pub record: MemberRecord,
}

/// Claims the shard; returns none if that fails.
///
/// `owner_revision` is the revision that the owner's key must have, 0 if the key must
/// not exist. `started_ms` is the start of this process, in milliseconds since the
/// Unix epoch.
pub async fn claim_shard(
    settings: &NodeSettings,
    link: &StoreLink,
    owner_revision: u64,
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
    // Writes all chain keys, so that no commit of the former owner takes effect any more.
    writes.extend((0..LANE_COUNT).map(|lane| write(keys.chain(lane), chain.clone(), 0)));
    let commit = StoreCommit {
        expected: vec![(keys.owner(), owner_revision), (keys.chain(0), revision)],
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
    log::info!(event = "claim_lost", epoch = epoch, reply:? = reply; "");
    // If the commit took effect although its reply was lost, this deletes the key.
    call(link, &StoreCall::Revoke(lease)).await;
    None
}

/// Reads the chain key of lane 0 and its revision; returns a default record and 0 if
/// the key does not exist, none if it cannot be read.
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

/// Returns whether the last owner was an earlier incarnation of this process, or there
/// was no owner yet; false if the store cannot be read.
pub async fn was_last_owner(settings: &NodeSettings, link: &StoreLink) -> bool {
    let last = read_chain(link).await;
    last.is_some_and(|(last, _)| last.holder.is_empty() || last.holder == settings.name)
}

/// Returns the write that restores the owner's key; none if the record cannot be
/// encoded.
pub(super) fn owner_key_write(record: &MemberRecord, lease: LeaseId) -> Option<StoreWrite> {
    let value = encode(record).ok()?;
    Some(write(ShardKeys::default().owner(), value, lease))
}

fn write(key: String, value: Vec<u8>, lease: LeaseId) -> StoreWrite {
    StoreWrite { key, value, lease }
}

async fn call(link: &StoreLink, call: &StoreCall) -> Option<StoreReply> {
    match link.call(call, CLAIM_LIMIT).await {
        Ok(reply) => Some(reply),
        Err(error) => {
            log::info!(event = "claim_failed", error:% = error; "");
            None
        }
    }
}

/// Until when the ownership is guaranteed; shared with the tasks that send orders.
#[derive(Debug, Default)]
pub struct OwnerValidity {
    /// In milliseconds on the boot clock.
    valid_until_ms: AtomicU64,
    /// Lease to which the owner's key was attached when it was last written.
    lease: AtomicU64,
}

impl OwnerValidity {
    /// Starts with the lease of the claim and the time until which it is valid.
    #[must_use]
    pub fn new(lease: LeaseId, valid_until_ms: u64) -> Self {
        Self {
            valid_until_ms: AtomicU64::new(valid_until_ms),
            lease: AtomicU64::new(lease),
        }
    }

    /// Returns until when the ownership is guaranteed, in milliseconds on the boot clock.
    #[must_use]
    pub fn valid_until_ms(&self) -> u64 {
        self.valid_until_ms.load(Ordering::Relaxed)
    }

    /// Returns the lease to which the owner's key was attached when it was last written.
    #[must_use]
    pub fn lease(&self) -> LeaseId {
        self.lease.load(Ordering::Relaxed)
    }

    /// Records that the owner's key was written again, attached to this lease, which is
    /// valid until `valid_until_ms`.
    pub fn reclaim(&self, lease: LeaseId, valid_until_ms: u64) {
        self.lease.store(lease, Ordering::Relaxed);
        self.valid_until_ms
            .fetch_max(valid_until_ms, Ordering::Relaxed);
    }

    /// Records a renewal that makes a lease valid until `valid_until_ms`.
    ///
    /// Ignores it unless the owner's key is attached to that lease: otherwise another
    /// entry VM may have claimed the shard in the meantime.
    pub fn renewed(&self, lease: LeaseId, valid_until_ms: u64) {
        if self.lease() == lease {
            self.valid_until_ms
                .fetch_max(valid_until_ms, Ordering::Relaxed);
        }
    }
}

/// Renews the owner's lease and updates `validity` until the receiver of `events` is
/// dropped.
///
/// The lease counts from the time at which a renewal was sent. If the lease has ended,
/// a new one is created and the shard owner is told to restore its key.
/// `check_lease` requests a renewal at once because the key is gone; if the lease
/// still exists, the shard owner is told to restore the key under it.
pub async fn renew(
    settings: NodeSettings,
    link: StoreLink,
    mut lease: LeaseId,
    validity: Arc<OwnerValidity>,
    check_lease: Arc<Notify>,
    events: mpsc::UnboundedSender<OwnerEvent>,
) {
    let ttl_ms = settings.owner_ttl.as_millis() as u64;
    let period = settings.owner_ttl / RENEWALS_PER_TTL;
    loop {
        let check_requested = timeout(period, check_lease.notified()).await.is_ok();
        let sent_ms = boot_ms();
        match link.call(&StoreCall::Renew(lease), RENEW_LIMIT).await {
            // The lease still exists, so only the key was removed.
            Ok(StoreReply::Done) if check_requested => {
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
