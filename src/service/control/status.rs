//! Handler of the status: this entry VM and what it knows of the others.

use std::collections::BTreeMap;

use salvo::Depot;
use salvo::Response;
use salvo::Router;
use salvo::handler;

use crate::names::EntryName;
use crate::peer::MemberState;
use crate::service::fleet::ControllerReport;
use crate::service::unix_ms;

use super::ControlError;
use super::ControlState;
use super::answer;
use super::state_of;
use super::wire::DrainStatusWire;
use super::wire::EntryStatusWire;
use super::wire::RemoteStatusWire;
use super::wire::StatusWire;

pub(super) fn routes() -> Router {
    Router::with_path("status").get(show)
}

#[handler]
async fn show(depot: &mut Depot, response: &mut Response) {
    answer(response, read(depot));
}

fn read(depot: &Depot) -> Result<StatusWire, ControlError> {
    let state = state_of(depot)?;
    let fleet = state.fleet.borrow().clone();
    let follow = state.follow.borrow().clone();
    let never = follow.confirmed_ms == 0;
    let age_ms = unix_ms().saturating_sub(follow.confirmed_ms);
    let peers = state.peers.borrow().clone();
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
        stale_ms: peers.stale.map(|age| age.as_millis() as u64),
        watching: follow.watching,
        platform_reachable: follow.error.is_empty() && !never,
        platform_error: follow.error,
        confirmed_age_ms: (!never).then_some(age_ms),
        entries: entries(&state, &peers.members),
        waiting: waiting(&state.drains.borrow()),
        data_centres: remotes
            .map(|(dc, remote)| RemoteStatusWire {
                dc: dc.to_string(),
                entries: remote.entries.len(),
            })
            .collect(),
    })
}

fn entries(
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

fn waiting(report: &ControllerReport) -> Vec<DrainStatusWire> {
    let drains = report.draining.iter().map(|drain| (drain, false));
    let postponed = report.postponed.iter().map(|drain| (drain, true));
    let waiting = drains.chain(postponed);
    let waiting = waiting.map(|((vm, entries), postponed)| DrainStatusWire {
        vm: vm.to_string(),
        postponed,
        entries: entries.iter().map(ToString::to_string).collect(),
    });
    waiting.collect()
}
