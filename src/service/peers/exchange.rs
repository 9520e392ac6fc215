//! Answers to peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use super::PeerTools;
use super::owner::OwnerMessage;
use crate::config::VersionedConfig;
use crate::decide::membership::EntryReport;
use crate::fleet::EntryRoster;
use crate::fleet::FleetRecord;
use crate::peer::EntryAck;
use crate::peer::message::ConfigOffer;
use crate::peer::message::DcSummary;
use crate::peer::message::PushAnswer;
use crate::peer::message::StateCopy;
use crate::peer::message::StatePush;
use crate::service::config::ConfigMessage;
use crate::service::entry;
use crate::service::entry::DispatchInbox;
use crate::service::fleet::FleetMessage;

/// Time that a pushed record gets to come into force before the answer is given.
const FORCE_LIMIT: Duration = Duration::from_millis(500);
/// Pause between two looks at what is in force.
const FORCE_PAUSE: Duration = Duration::from_millis(2);

/// Takes a push and answers once it is in force, or after a short time.
pub(super) async fn accept(tools: &PeerTools, push: StatePush) -> Option<PushAnswer> {
    if push.dc != tools.settings.dc {
        log::warn!(event = "push_refused", dc:% = push.dc, peer:% = push.controller; "");
        return None;
    }
    let sequence = push.fleet.as_ref().map_or(0, |fleet| fleet.sequence);
    let generation = push.roster.as_ref().map_or(0, |roster| roster.generation);
    if let Some(offer) = push.config {
        offer_config(tools, offer).await;
    }
    if let Some(record) = push.fleet {
        offer_fleet(tools, record).await;
    }
    let message = OwnerMessage::Pushed {
        controller: push.controller,
        roster: push.roster,
    };
    tools.owner.send(message).await.ok()?;
    let in_force = async {
        loop {
            let answer = answer(tools).await;
            let ack = &answer.report.ack;
            if ack.fleet_sequence >= sequence && ack.generation >= generation {
                return answer;
            }
            sleep(FORCE_PAUSE).await;
        }
    };
    match timeout(FORCE_LIMIT, in_force).await {
        Ok(answer) => Some(answer),
        Err(_) => Some(answer(tools).await),
    }
}

/// Hands a configuration to its service; a patch for another version is ignored.
pub(super) async fn offer_config(tools: &PeerTools, offer: ConfigOffer) {
    let known = tools.config.borrow().clone();
    let config = match offer {
        ConfigOffer::Whole(config) => config,
        ConfigOffer::Patch(patch) if patch.base == known.version => {
            let mut document = known.document.clone();
            json_patch::merge(&mut document, &patch.patch);
            match VersionedConfig::new(patch.version, document) {
                Ok(config) if config.digest() == patch.digest => Arc::new(config),
                _ => return,
            }
        }
        ConfigOffer::Patch(_) => return,
    };
    if config.version > known.version {
        // The service is gone only at the end of the process.
        let _ = tools.config_inbox.send(ConfigMessage::Offer(config)).await;
    }
}

/// Hands a fleet record to its service and waits until it is in force.
///
/// A roster that comes with it must not be in force before it: a process that
/// gets a place must know of every drain that others have acknowledged.
pub(super) async fn offer_fleet(tools: &PeerTools, record: Arc<FleetRecord>) {
    let sequence = record.sequence;
    // The service is gone only at the end of the process.
    let _ = tools.fleet_inbox.send(FleetMessage::Offer(record)).await;
    let mut fleet = tools.fleet.clone();
    let in_force = fleet.wait_for(|fleet| {
        let known = fleet.as_ref();
        known.is_some_and(|known| known.sequence >= sequence)
    });
    if timeout(FORCE_LIMIT, in_force).await.is_err() {
        log::warn!(event = "offer_not_taken", sequence = sequence; "");
    }
}

/// Returns what this entry VM is and has in force.
pub(super) async fn answer(tools: &PeerTools) -> PushAnswer {
    let inbox = tools.kernel.find::<DispatchInbox>(entry::NAME);
    let ack = match inbox {
        Ok(inbox) => inbox.report().await,
        Err(_) => None,
    };
    let identity = &tools.identity;
    PushAnswer {
        dc: identity.dc.clone(),
        name: identity.name.clone(),
        report: EntryReport {
            entry_address: identity.entry_address,
            control_address: identity.control_address,
            incarnation: identity.incarnation,
            ack: ack.unwrap_or_else(EntryAck::default),
        },
    }
}

/// Returns the configuration in force, for any peer.
pub(super) fn config_copy(tools: &PeerTools) -> StateCopy {
    let config = tools.config.borrow().clone();
    StateCopy {
        age_ms: age_ms(tools),
        config: (config.version > 0).then_some(config),
        ..StateCopy::default()
    }
}

/// Returns the whole state, for a peer of this data centre.
pub(super) fn state_copy(tools: &PeerTools) -> StateCopy {
    let roster = tools.roster.borrow().clone();
    StateCopy {
        fleet: tools.fleet.borrow().clone(),
        roster: (roster.generation > 0).then(|| EntryRoster::clone(&roster)),
        ..config_copy(tools)
    }
}

/// Returns the time since the state was last confirmed.
fn age_ms(tools: &PeerTools) -> u64 {
    let stale = tools.view.borrow().stale.unwrap_or_default();
    let confirmed = tools.need.borrow().confirmed;
    let age = confirmed.map_or(stale, |confirmed| confirmed.elapsed());
    age.as_millis() as u64
}

/// Returns what other data centres are told.
pub(super) fn summary(tools: &PeerTools) -> DcSummary {
    let peers = tools.view.borrow().clone();
    let config = tools.config.borrow().clone();
    let mut slots = BTreeMap::new();
    if let Some(fleet) = tools.fleet.borrow().as_ref() {
        for vm in fleet.vms.values().filter(|vm| vm.state.is_serving()) {
            let pool = config.config.pools.get(&vm.pool);
            *slots.entry(vm.pool.clone()).or_default() += pool.map_or(0, |pool| pool.slots);
        }
    }
    let members = peers.members.iter();
    DcSummary {
        dc: tools.identity.dc.clone(),
        config_version: config.version,
        entries: members
            .map(|(name, member)| (name.clone(), member.entry_address))
            .collect(),
        slots,
    }
}
