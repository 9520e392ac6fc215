//! Handlers for the status of this entry VM, including what it knows of the others,
//! and for the rosters of all data centres.

use std::collections::BTreeMap;

use salvo::Depot;
use salvo::Response;
use salvo::Router;
use salvo::handler;
use tokio::time::Instant;

use crate::fleet::wire::RosterWire;
use crate::names::EntryName;
use crate::names::VmName;
use crate::peer::MemberState;
use crate::service::unix_ms;

use super::ControlError;
use super::ControlState;
use super::respond;
use super::state_of;
use super::wire::EntryStatusWire;
use super::wire::RemoteStatusWire;
use super::wire::RostersWire;
use super::wire::StatusWire;

/// Key prefix of the rosters at the platform.
const ROSTER_PREFIX: &str = "entries/";

pub(super) fn routes() -> Router {
    Router::new()
        .push(Router::with_path("status").get(show))
        .push(Router::with_path("entries").get(show_entries))
}

#[handler]
async fn show_entries(depot: &mut Depot, response: &mut Response) {
    respond(response, read_rosters(depot).await);
}

/// Reads the rosters of all data centres from the platform.
async fn read_rosters(depot: &Depot) -> Result<RostersWire, ControlError> {
    let state = state_of(depot)?;
    let values = state.platform_client().list(ROSTER_PREFIX).await;
    let values = values.map_err(ControlError::unavailable)?;
    let mut rosters = BTreeMap::new();
    for value in values {
        let roster: RosterWire =
            serde_json::from_slice(&value.value).map_err(ControlError::unavailable)?;
        let dc = value.key.trim_start_matches(ROSTER_PREFIX);
        rosters.insert(dc.to_owned(), roster);
    }
    Ok(RostersWire { rosters })
}

#[handler]
async fn show(depot: &mut Depot, response: &mut Response) {
    respond(response, read(depot));
}

fn read(depot: &Depot) -> Result<StatusWire, ControlError> {
    let state = state_of(depot)?;
    let fleet = state.fleet.borrow().clone();
    let status = state.config_status.borrow().clone();
    let never_confirmed = status.confirmed_ms == 0;
    let age_ms = unix_ms().saturating_sub(status.confirmed_ms);
    let peers = state.peers.borrow().clone();
    let report = state.report.borrow().clone();
    let ejected = state.ejections.borrow().clone();
    let remotes = peers.remotes.iter();
    Ok(StatusWire {
        name: state.settings.name.to_string(),
        dc: state.settings.dc.to_string(),
        config_version: state.config.borrow().version,
        fleet_sequence: fleet.as_ref().map_or(0, |fleet| fleet.sequence),
        vms: fleet.as_ref().map_or(0, |fleet| fleet.vms.len()),
        trusted: peers.trusted,
        generation: peers.generation,
        sharing: peers.place.entries,
        stale_ms: peers.stale_age.map(|age| age.as_millis() as u64),
        watching: status.watching,
        platform_reachable: status.error.is_empty() && !never_confirmed,
        platform_error: status.error,
        confirmed_age_ms: (!never_confirmed).then_some(age_ms),
        controller: state.controller.borrow().is_controller(Instant::now()),
        draining: entries_by_vm(&report.draining),
        postponed: entries_by_vm(&report.postponed),
        ejected: ejected
            .iter()
            .map(|(vm, ejected)| (vm.to_string(), ejected.into()))
            .collect(),
        entries: other_entries(&state, &peers.members),
        data_centres: remotes
            .map(|(dc, remote)| RemoteStatusWire {
                dc: dc.to_string(),
                entries: remote.entries.len(),
            })
            .collect(),
    })
}

fn other_entries(
    state: &ControlState,
    members: &BTreeMap<EntryName, MemberState>,
) -> Vec<EntryStatusWire> {
    let own = &state.settings.name;
    let others = members.iter().filter(|(name, _)| *name != own);
    let others = others.map(|(name, member)| EntryStatusWire {
        name: name.to_string(),
        address: member.entry_address.to_string(),
        config_version: member.ack.config_version,
        fleet_sequence: member.ack.fleet_sequence,
        in_progress: member.ack.in_use.values().sum(),
    });
    others.collect()
}

/// Converts a map from VMs to the entry VMs that their drain or stop waits for.
fn entries_by_vm(vms: &BTreeMap<VmName, Vec<EntryName>>) -> BTreeMap<String, Vec<String>> {
    let vms = vms.iter().map(|(vm, entries)| {
        let entries = entries.iter().map(ToString::to_string);
        (vm.to_string(), entries.collect())
    });
    vms.collect()
}
