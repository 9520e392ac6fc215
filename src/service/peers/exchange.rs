//! Handling of the messages from peers, and the answers to them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use super::PeerContext;
use super::owner::OwnerMessage;
use crate::config::VersionedConfig;
use crate::decide::membership::EntryReport;
use crate::fleet::EntryRoster;
use crate::fleet::FleetRecord;
use crate::peer::EntryAck;
use crate::peer::message::ConfigUpdate;
use crate::peer::message::DcSummary;
use crate::peer::message::PushAnswer;
use crate::peer::message::StateCopy;
use crate::peer::message::StatePush;
use crate::service::config::ConfigMessage;
use crate::service::entry;
use crate::service::entry::DispatchInbox;
use crate::service::fleet::FleetMessage;

/// Longest wait for pushed state to come into force; then the answer is sent anyway.
const APPLY_LIMIT: Duration = Duration::from_millis(500);
/// Pause between two checks whether pushed state is in force.
const APPLY_POLL_PAUSE: Duration = Duration::from_millis(2);

/// Applies a push; answers once it is in force, or after [`APPLY_LIMIT`] at the latest.
///
/// A push from another data centre is refused with `None`.
pub(super) async fn apply_push(context: &PeerContext, push: StatePush) -> Option<PushAnswer> {
    if push.dc != context.settings.dc {
        log::warn!(event = "push_refused", dc:% = push.dc, peer:% = push.controller; "");
        return None;
    }
    let sequence = push.fleet.as_ref().map_or(0, |fleet| fleet.sequence);
    let generation = push.roster.as_ref().map_or(0, |roster| roster.generation);
    if let Some(update) = push.config {
        apply_config(context, update).await;
    }
    if let Some(record) = push.fleet {
        apply_fleet_record(context, record).await;
    }
    let message = OwnerMessage::Pushed {
        controller: push.controller,
        roster: push.roster,
    };
    context.owner.send(message).await.ok()?;
    let in_force = async {
        loop {
            let answer = push_answer(context).await;
            let ack = &answer.report.ack;
            if ack.fleet_sequence >= sequence && ack.generation >= generation {
                return answer;
            }
            sleep(APPLY_POLL_PAUSE).await;
        }
    };
    match timeout(APPLY_LIMIT, in_force).await {
        Ok(answer) => Some(answer),
        Err(_) => Some(push_answer(context).await),
    }
}

/// Passes a newer configuration to its service.
///
/// A patch is ignored if its base is not the version in force or if the result does
/// not have the expected digest.
pub(super) async fn apply_config(context: &PeerContext, update: ConfigUpdate) {
    let known = context.config.borrow().clone();
    let config = match update {
        ConfigUpdate::Full(config) => config,
        ConfigUpdate::Patch(patch) if patch.base == known.version => {
            let mut document = known.document.clone();
            json_patch::merge(&mut document, &patch.patch);
            match VersionedConfig::new(patch.version, document) {
                Ok(config) if config.digest() == patch.digest => Arc::new(config),
                _ => return,
            }
        }
        ConfigUpdate::Patch(_) => return,
    };
    if config.version > known.version {
        // The service's inbox closes only at the end of the process.
        let _ = context
            .config_inbox
            .send(ConfigMessage::Offer(config))
            .await;
    }
}

/// Passes a fleet record to its service and waits until it is in force, for
/// [`APPLY_LIMIT`] at most.
///
/// A roster of the same push is applied after the record: an entry VM that gets a share
/// of the slots must know every drain that other entry VMs have acknowledged.
pub(super) async fn apply_fleet_record(context: &PeerContext, record: Arc<FleetRecord>) {
    let sequence = record.sequence;
    // The service's inbox closes only at the end of the process.
    let _ = context.fleet_inbox.send(FleetMessage::Offer(record)).await;
    let mut fleet = context.fleet.clone();
    let in_force = fleet.wait_for(|fleet| {
        let known = fleet.as_ref();
        known.is_some_and(|known| known.sequence >= sequence)
    });
    if timeout(APPLY_LIMIT, in_force).await.is_err() {
        log::warn!(event = "fleet_record_not_in_force", sequence = sequence; "");
    }
}

/// Returns this entry VM's identity, versions in force and requests in progress.
pub(super) async fn push_answer(context: &PeerContext) -> PushAnswer {
    let inbox = context.kernel.find::<DispatchInbox>(entry::NAME);
    let ack = match inbox {
        Ok(inbox) => inbox.fetch_ack().await,
        Err(_) => None,
    };
    let identity = &context.identity;
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

/// Returns the configuration in force, for peers of any data centre.
pub(super) fn config_copy(context: &PeerContext) -> StateCopy {
    let config = context.config.borrow().clone();
    StateCopy {
        age_ms: age_ms(context),
        config: (config.version > 0).then_some(config),
        ..StateCopy::default()
    }
}

/// Returns the full state, for peers of this data centre.
pub(super) fn state_copy(context: &PeerContext) -> StateCopy {
    let roster = context.roster.borrow().clone();
    StateCopy {
        fleet: context.fleet.borrow().clone(),
        roster: (roster.generation > 0).then(|| EntryRoster::clone(&roster)),
        ..config_copy(context)
    }
}

/// Returns the time since the state was last confirmed, in milliseconds.
///
/// Before the first confirmation by the controller or the platform it is the age that
/// the state had at the peer from which it was read.
fn age_ms(context: &PeerContext) -> u64 {
    let stale_age = context.view.borrow().stale_age.unwrap_or_default();
    let confirmed = context.sync_status.borrow().confirmed;
    let age = confirmed.map_or(stale_age, |confirmed| confirmed.elapsed());
    age.as_millis() as u64
}

/// Returns the summary of this data centre for peers of other data centres.
pub(super) fn dc_summary(context: &PeerContext) -> DcSummary {
    let peers = context.view.borrow().clone();
    let config = context.config.borrow().clone();
    let mut slots = BTreeMap::new();
    if let Some(fleet) = context.fleet.borrow().as_ref() {
        for vm in fleet.vms.values().filter(|vm| vm.state.is_serving()) {
            let pool = config.config.pools.get(&vm.pool);
            *slots.entry(vm.pool.clone()).or_default() += pool.map_or(0, |pool| pool.slots);
        }
    }
    let members = peers.members.iter();
    DcSummary {
        dc: context.identity.dc.clone(),
        config_version: config.version,
        entries: members
            .map(|(name, member)| (name.clone(), member.entry_address))
            .collect(),
        slots,
    }
}
