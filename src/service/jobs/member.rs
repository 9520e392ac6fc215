//! Membership: the entry VMs and the owner of the shard.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::unix_ms;
use crate::jobs::codec::decode;
use crate::jobs::codec::encode;
use crate::jobs::record::MEMBER_PREFIX;
use crate::jobs::record::MemberRecord;
use crate::jobs::record::ShardKeys;
use crate::jobs::record::entry_vm_key;
use crate::platform::backoff::BackoffState;
use crate::ports::StoreCall;
use crate::ports::StoreReply;
use crate::ports::store::StoreCommit;
use crate::ports::store::StoreEvent;
use crate::ports::store::StoreItem;
use crate::ports::store::StoreWrite;
use crate::service::jobs::messages::MemberState;
use crate::service::jobs::settings::NodeSettings;
use crate::service::jobs::store::StoreLink;
use crate::service::jobs::watch::PrefixUpdate;
use crate::service::jobs::watch::STORE_BACKOFF;
use crate::service::jobs::watch::watch_prefix;

/// Time limit of the commit that registers this entry VM.
const REGISTER_LIMIT: Duration = Duration::from_millis(1500);

/// Registers this entry VM in the store; retries until that succeeds.
pub async fn register(settings: NodeSettings, link: StoreLink) {
    let record = MemberRecord {
        name: settings.name.clone(),
        address: settings.control.to_string(),
        epoch: 0,
        started_ms: unix_ms(),
        share: settings.share_millicores(),
    };
    let value = match encode(&record) {
        Ok(value) => value,
        Err(error) => return log::error!(event = "register_failed", error:% = error; ""),
    };
    let commit = StoreCommit {
        writes: vec![StoreWrite {
            key: entry_vm_key(&settings.name),
            value,
            lease: 0,
        }],
        ..StoreCommit::default()
    };
    let call = StoreCall::Commit(commit);
    let mut backoff = BackoffState::new(STORE_BACKOFF);
    loop {
        match link.call(&call, REGISTER_LIMIT).await {
            Ok(StoreReply::Committed(_)) => return,
            Ok(reply) => log::info!(event = "register_refused", reply:? = reply; ""),
            Err(error) => log::info!(event = "register_failed", error:% = error; ""),
        }
        sleep(backoff.next_pause(rand::random())).await;
    }
}

/// Watches the registered entry VMs and the owner's key, and publishes changes to
/// `sender`. Also passes the other entry VMs' addresses to `link`, for calls via a peer.
pub async fn run(settings: NodeSettings, link: StoreLink, sender: watch::Sender<MemberState>) {
    let mut nodes: BTreeMap<String, SocketAddr> = BTreeMap::new();
    let peer_link = link.clone();
    let apply_update = |update: PrefixUpdate| {
        sender.send_modify(|state| match update {
            PrefixUpdate::Snapshot(items) => {
                state.synced = true;
                let owner_key = ShardKeys::default().owner();
                if !items.iter().any(|item| item.key == owner_key) {
                    remove_owner(state);
                }
                items
                    .into_iter()
                    .for_each(|item| apply_item(state, &mut nodes, item));
            }
            PrefixUpdate::Change(StoreEvent::Written(item)) => apply_item(state, &mut nodes, item),
            PrefixUpdate::Change(StoreEvent::Removed { key, .. }) => {
                if key == ShardKeys::default().owner() {
                    remove_owner(state);
                }
            }
        });
        sender.send_modify(|state| {
            let others = nodes.iter().filter(|(name, _)| **name != settings.name);
            state.nodes = others
                .map(|(name, address)| (name.clone(), *address))
                .collect();
            let peers = state.nodes.iter().map(|(_, address)| *address);
            let seeds = settings
                .seeds
                .iter()
                .copied()
                .filter(|seed| *seed != settings.control);
            let mut peers: Vec<SocketAddr> = peers.chain(seeds).collect();
            peers.sort_unstable();
            peers.dedup();
            peer_link.set_peers(peers);
        });
        true
    };
    watch_prefix(&link, MEMBER_PREFIX, apply_update).await;
}

fn remove_owner(state: &mut MemberState) {
    if let Some((owner, _)) = state.owner.take() {
        log::info!(event = "owner_gone", owner = owner.name.as_str(), epoch = owner.epoch; "");
        state.former_owner = Some(owner);
    }
}

fn apply_item(state: &mut MemberState, nodes: &mut BTreeMap<String, SocketAddr>, item: StoreItem) {
    let record: MemberRecord = match decode(&item.key, &item.value) {
        Ok(record) => record,
        Err(error) => return log::warn!(event = "member_unreadable", error:% = error; ""),
    };
    if item.key == ShardKeys::default().owner() {
        update_owner(state, record, item.revision);
    } else if let Ok(address) = record.address.parse() {
        state.max_share_millicores = state.max_share_millicores.max(record.share);
        state.latest_start_ms = state.latest_start_ms.max(record.started_ms);
        nodes.insert(record.name, address);
    }
}

/// Records an owner unless one of a later epoch is known; `revision` is that of the
/// owner's key, 0 if unknown.
pub fn update_owner(state: &mut MemberState, record: MemberRecord, revision: u64) {
    let known = state.owner.as_ref().map_or(0, |(owner, _)| owner.epoch);
    let former = state.former_owner.as_ref().map_or(0, |owner| owner.epoch);
    if record.epoch < known.max(former) {
        return;
    }
    if record.epoch > known {
        log::info!(event = "owner_changed", owner = record.name.as_str(), epoch = record.epoch; "");
    }
    state.owner = Some((record, revision));
    state.former_owner = None;
}

/// Records an owner that another entry VM reported; returns whether it was recorded.
///
/// Ignores it unless its epoch is later than any known one. The other entry VM may not
/// have seen yet that the owner's key was removed; recording that owner again would
/// keep this entry VM from claiming the shard.
pub fn update_owner_from_peer(state: &mut MemberState, record: MemberRecord) -> bool {
    let known = state.owner.as_ref().map_or(0, |(owner, _)| owner.epoch);
    let former = state.former_owner.as_ref().map_or(0, |owner| owner.epoch);
    let is_later = record.epoch > known.max(former);
    if is_later {
        // The revision is unknown; a claim waits until the watch reports it.
        update_owner(state, record, 0);
    }
    is_later
}
