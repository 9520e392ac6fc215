//! Reading the state while no controller pushes it.
//!
//! The platform is asked first, then the peers of the data centre, then, for the
//! configuration alone, any peer. Attempts back off with jitter, so that neither
//! a platform that returns nor a controller that starts meets all at once.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt;
use snafu::Snafu;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use super::PeerTools;
use super::client;
use super::exchange;
use super::owner::OwnerMessage;
use super::owner::StateNeed;
use super::roster;
use super::roster::RosterError;
use crate::config::head::HEAD_KEY;
use crate::config::head::HeadWire;
use crate::fleet::EntryRoster;
use crate::fleet::FleetRecord;
use crate::fleet::wire::FleetWire;
use crate::peer::message::ConfigOffer;
use crate::peer::message::StateCopy;
use crate::platform::PlatformError;
use crate::platform::backoff::BackoffSettings;
use crate::platform::backoff::BackoffState;
use crate::service::config::ConfigMessage;
use crate::service::fleet::FleetMessage;

/// Longest pause between two attempts while the state is missing.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Longest pause while it is there and only not pushed.
const MAX_QUIET_PAUSE: Duration = Duration::from_secs(15);
/// Shortest time that a peer gets to hand over its state.
const MIN_COPY_LIMIT: Duration = Duration::from_secs(1);
/// Time in which the version of the platform has to come into force.
const FOLLOW_LIMIT: Duration = Duration::from_secs(2);

#[derive(Debug)]
#[derive(Snafu)]
enum RecoverError {
    #[snafu(display("{source}"))]
    Roster { source: RosterError },
    #[snafu(display("{source}"))]
    Platform { source: PlatformError },
    #[snafu(display("step=follow version={version}: not in force yet"))]
    Behind { version: u64 },
    #[snafu(display("step=decode: {source}"))]
    Decode { source: serde_json::Error },
    #[snafu(display("step=read_fleet: {source}"))]
    Name { source: crate::names::NameError },
}

/// Runs as long as the process.
pub(super) async fn run(tools: &PeerTools) {
    let mut need = tools.need.clone();
    let mut term = tools.term.clone();
    let mut missing = backoff(tools, MAX_PAUSE);
    let mut quiet = backoff(tools, MAX_QUIET_PAUSE);
    loop {
        let current = *need.borrow_and_update();
        let controls = term.borrow_and_update().is_controller(Instant::now());
        switch_watches(tools, current.quiet || current.untrusted || controls).await;
        if !current.quiet && !current.untrusted {
            missing.reset();
            quiet.reset();
            // Who becomes the controller has to watch at once.
            tokio::select! {
                () = changed(&mut need, current) => {}
                _ = term.changed() => {}
                () = sleep(MAX_PAUSE) => {}
            }
            continue;
        }
        attempt(tools, current).await;
        announce(tools, current).await;
        let backoff = if current.untrusted {
            &mut missing
        } else {
            &mut quiet
        };
        let pause = backoff.next_pause(rand::random());
        // The need may have changed while it was seen to.
        let _ = timeout(pause, changed(&mut need, current)).await;
    }
}

fn backoff(tools: &PeerTools, max_pause: Duration) -> BackoffState {
    BackoffState::new(BackoffSettings {
        first: tools.settings.control.sync,
        max: max_pause,
    })
}

/// Waits until there is more or less to be seen to than before.
async fn changed(need: &mut watch::Receiver<StateNeed>, before: StateNeed) {
    let changed =
        need.wait_for(|need| need.untrusted != before.untrusted || need.quiet != before.quiet);
    // The owner is gone only at the end of the process.
    let _ = changed.await;
}

/// Lets this entry VM watch the platform itself, or not.
async fn switch_watches(tools: &PeerTools, watching: bool) {
    // The services are gone only at the end of the process.
    let _ = tools
        .config_inbox
        .send(ConfigMessage::Watch(watching))
        .await;
    let _ = tools.fleet_inbox.send(FleetMessage::Watch(watching)).await;
}

async fn attempt(tools: &PeerTools, need: StateNeed) {
    let asked = Instant::now();
    let message = match read_platform(tools).await {
        Ok(roster) => OwnerMessage::Confirmed {
            asked,
            roster: Some(roster),
            stale: None,
        },
        Err(error) => {
            log::warn!(event = "state_not_read", error:% = error; "");
            let Some(copy) = read_peers(tools, need).await else {
                if need.untrusted {
                    log::warn!(event = "no_state"; "");
                }
                return;
            };
            take_copy(tools, copy, asked).await
        }
    };
    // The owner is gone only at the end of the process.
    let _ = tools.owner.send(message).await;
}

/// Reads roster, fleet record and version at the platform, in this order.
///
/// A roster that gives this process a place is thus never newer than the fleet
/// record that is in force.
async fn read_platform(tools: &PeerTools) -> Result<EntryRoster, RecoverError> {
    let stored = roster::read(tools).await.context(RosterSnafu)?;
    let key = format!("fleet/{}", tools.identity.dc);
    let fleet = tools.client.get(&key).await.context(PlatformSnafu)?;
    if let Some(fleet) = fleet {
        let wire: FleetWire = serde_json::from_slice(&fleet.value).context(DecodeSnafu)?;
        let record = FleetRecord::try_from(wire).context(NameSnafu)?;
        exchange::offer_fleet(tools, Arc::new(record)).await;
    }
    let head = tools.client.get(HEAD_KEY).await.context(PlatformSnafu)?;
    if let Some(head) = head {
        let head: HeadWire = serde_json::from_slice(&head.value).context(DecodeSnafu)?;
        let mut config = tools.config.clone();
        let followed = config.wait_for(|config| config.version >= head.version);
        if timeout(FOLLOW_LIMIT, followed).await.is_err() {
            return BehindSnafu {
                version: head.version,
            }
            .fail();
        }
    }
    Ok(stored.roster)
}

/// Asks the peers of the data centre for their state, then any peer for its
/// configuration.
async fn read_peers(tools: &PeerTools, need: StateNeed) -> Option<StateCopy> {
    let limit = tools.settings.control.sync.max(MIN_COPY_LIMIT);
    let roster = tools.roster.borrow().clone();
    let entries = roster.entries.values().map(|entry| entry.control_address);
    let near: BTreeSet<SocketAddr> = tools.near().chain(entries).collect();
    let near = near
        .into_iter()
        .filter(|peer| Some(*peer) != need.controller);
    for peer in need.controller.into_iter().chain(near) {
        if peer == tools.identity.control_address {
            continue;
        }
        match client::copy(peer, limit).await {
            Ok(copy) => return Some(copy),
            Err(error) => {
                log::debug!(event = "copy_failed", peer:% = peer, error:% = error; "");
            }
        }
    }
    for peer in tools.far().into_values().flatten() {
        if let Ok(copy) = client::config(peer, limit).await {
            if let Some(config) = copy.config {
                exchange::offer_config(tools, ConfigOffer::Whole(config)).await;
            }
            break;
        }
    }
    None
}

/// Puts a peer's state in force; the older of two is ignored by their services.
async fn take_copy(tools: &PeerTools, copy: StateCopy, asked: Instant) -> OwnerMessage {
    if let Some(config) = copy.config {
        exchange::offer_config(tools, ConfigOffer::Whole(config)).await;
    }
    if let Some(fleet) = copy.fleet {
        exchange::offer_fleet(tools, fleet).await;
    }
    OwnerMessage::Confirmed {
        asked,
        roster: copy.roster,
        stale: Some(Duration::from_millis(copy.age_ms)),
    }
}

/// Tells the peers of the data centre that this entry VM is there, if the roster
/// does not carry it.
async fn announce(tools: &PeerTools, need: StateNeed) {
    let identity = &tools.identity;
    let roster = tools.roster.borrow().clone();
    let entry = roster.entries.get(&identity.name);
    if entry.is_some_and(|entry| entry.incarnation == identity.incarnation) {
        return;
    }
    let limit = tools.settings.control.sync.max(MIN_COPY_LIMIT);
    let answer = exchange::answer(tools).await;
    let entries = roster.entries.values().map(|entry| entry.control_address);
    let peers = tools.near().chain(need.controller).chain(entries);
    for peer in peers.collect::<BTreeSet<_>>() {
        if peer == identity.control_address {
            continue;
        }
        if let Err(error) = client::announce(peer, &answer, limit).await {
            log::debug!(event = "announce_failed", peer:% = peer, error:% = error; "");
        }
    }
}
