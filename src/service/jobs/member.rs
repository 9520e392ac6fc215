//! Who the entry VMs are and which of them owns the shard.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::unix_ms;
use crate::jobs::record::MEMBER_PREFIX;
use crate::jobs::record::MemberRecord;
use crate::jobs::record::ShardKeys;
use crate::jobs::record::decode;
use crate::jobs::record::encode;
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

/// Limit on registering.
const REGISTER_LIMIT: Duration = Duration::from_millis(1500);

/// Writes this entry VM's address into the store, until that succeeds.
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
        sleep(backoff.pause(rand::random())).await;
    }
}

/// Follows the members and publishes them.
pub async fn run(settings: NodeSettings, link: StoreLink, sender: watch::Sender<MemberState>) {
    let mut nodes: BTreeMap<String, SocketAddr> = BTreeMap::new();
    let shown = link.clone();
    let news = |news: PrefixUpdate| {
        sender.send_modify(|state| match news {
            PrefixUpdate::Snapshot(items) => {
                state.synced = true;
                let owner_key = ShardKeys::default().owner();
                if !items.iter().any(|item| item.key == owner_key) {
                    remove_owner(state);
                }
                items
                    .into_iter()
                    .for_each(|item| apply(state, &mut nodes, item));
            }
            PrefixUpdate::Change(StoreEvent::Written(item)) => apply(state, &mut nodes, item),
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
            shown.set_peers(peers);
        });
        true
    };
    watch_prefix(&link, MEMBER_PREFIX, news).await;
}

fn remove_owner(state: &mut MemberState) {
    if let Some((owner, _)) = state.owner.take() {
        log::info!(event = "owner_gone", owner = owner.name.as_str(), epoch = owner.epoch; "");
        state.former_owner = Some(owner);
    }
}

fn apply(state: &mut MemberState, nodes: &mut BTreeMap<String, SocketAddr>, item: StoreItem) {
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

/// Takes in an owner, unless a later one is known.
pub fn update_owner(state: &mut MemberState, record: MemberRecord, revision: u64) {
    let known = state.owner.as_ref().map_or(0, |(owner, _)| owner.epoch);
    let former = state.former_owner.as_ref().map_or(0, |owner| owner.epoch);
    if record.epoch < known.max(former) {
        return;
    }
    if record.epoch > known {
        log::info!(event = "owner_known", owner = record.name.as_str(), epoch = record.epoch; "");
    }
    state.owner = Some((record, revision));
    state.former_owner = None;
}

/// Takes in an owner of whom another entry VM told; true if it was news.
///
/// Only a later one than any known counts: the other may not have seen yet that the
/// owner's key is gone, and a bid needs it to be free.
pub fn update_owner_from_peer(state: &mut MemberState, record: MemberRecord) -> bool {
    let known = state.owner.as_ref().map_or(0, |(owner, _)| owner.epoch);
    let former = state.former_owner.as_ref().map_or(0, |owner| owner.epoch);
    let news = record.epoch > known.max(former);
    if news {
        // The revision is not known; whoever bids waits for the watch to tell it.
        update_owner(state, record, 0);
    }
    news
}
