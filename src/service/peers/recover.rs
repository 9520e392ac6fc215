//! Reading of the state while no controller pushes it.
//!
//! The state is read from the platform or, if that fails, from a peer of this data
//! centre. If that fails too, only the configuration is read, from a peer of another
//! data centre. Attempts back off with jitter, so that a recovering platform or a new
//! controller does not receive the calls of all entry VMs at once.

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

use super::PeerContext;
use super::client;
use super::exchange;
use super::owner::OwnerMessage;
use super::owner::SyncStatus;
use super::roster;
use super::roster::RosterError;
use crate::config::head::HEAD_KEY;
use crate::config::head::HeadWire;
use crate::fleet::EntryRoster;
use crate::fleet::FleetRecord;
use crate::fleet::wire::FleetWire;
use crate::peer::message::ConfigUpdate;
use crate::peer::message::StateCopy;
use crate::platform::PlatformError;
use crate::platform::backoff::BackoffSettings;
use crate::platform::backoff::BackoffState;
use crate::service::config::ConfigMessage;
use crate::service::fleet::FleetMessage;

/// Maximum backoff while the state is untrusted.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Maximum backoff while the state is trusted and only the push is overdue.
const MAX_OVERDUE_PAUSE: Duration = Duration::from_secs(15);
/// Minimum timeout of a call to a peer; the sync period applies if it is longer.
const MIN_CALL_LIMIT: Duration = Duration::from_secs(1);
/// Longest wait for the platform's configuration version to come into force.
const CONFIG_LIMIT: Duration = Duration::from_secs(2);

/// Why the state could not be read from the platform.
#[derive(Debug)]
#[derive(Snafu)]
enum RecoverError {
    #[snafu(display("{source}"))]
    Roster { source: RosterError },
    #[snafu(display("{source}"))]
    Platform { source: PlatformError },
    #[snafu(display("step=wait_config version={version}: not in force yet at this entry VM"))]
    ConfigBehind { version: u64 },
    #[snafu(display(
        "step=decode_state: not the JSON of a fleet record or configuration head: {source}"
    ))]
    Decode { source: serde_json::Error },
    #[snafu(display("step=decode_fleet: {source}"))]
    Name { source: crate::names::NameError },
}

/// Reads the state while it is untrusted or the push is overdue; does not end.
pub(super) async fn run(context: &PeerContext) {
    let mut status = context.sync_status.clone();
    let mut term = context.term.clone();
    let mut untrusted_backoff = backoff(context, MAX_PAUSE);
    let mut overdue_backoff = backoff(context, MAX_OVERDUE_PAUSE);
    loop {
        let current = *status.borrow_and_update();
        let is_controller = term.borrow_and_update().is_controller(Instant::now());
        set_watching(
            context,
            current.push_overdue || current.untrusted || is_controller,
        )
        .await;
        if !current.push_overdue && !current.untrusted {
            untrusted_backoff.reset();
            overdue_backoff.reset();
            // A new controller must start to watch the platform immediately.
            tokio::select! {
                () = wait_for_change(&mut status, current) => {}
                _ = term.changed() => {}
                () = sleep(MAX_PAUSE) => {}
            }
            continue;
        }
        read_state(context, current).await;
        announce(context, current).await;
        let backoff = if current.untrusted {
            &mut untrusted_backoff
        } else {
            &mut overdue_backoff
        };
        let pause = backoff.next_pause(rand::random());
        // Returns early if the status has changed, possibly during the attempt.
        let _ = timeout(pause, wait_for_change(&mut status, current)).await;
    }
}

fn backoff(context: &PeerContext, max_pause: Duration) -> BackoffState {
    BackoffState::new(BackoffSettings {
        first: context.settings.control.sync,
        max: max_pause,
    })
}

/// Waits until `untrusted` or `push_overdue` differs from `before`.
async fn wait_for_change(status: &mut watch::Receiver<SyncStatus>, before: SyncStatus) {
    let changed = status.wait_for(|status| {
        status.untrusted != before.untrusted || status.push_overdue != before.push_overdue
    });
    // The owner ends only with the process.
    let _ = changed.await;
}

/// Sets whether this entry VM watches the configuration and the fleet record at the
/// platform itself.
async fn set_watching(context: &PeerContext, watching: bool) {
    // The services' inboxes close only at the end of the process.
    let _ = context
        .config_inbox
        .send(ConfigMessage::Watch(watching))
        .await;
    let _ = context
        .fleet_inbox
        .send(FleetMessage::Watch(watching))
        .await;
}

/// Reads the state from the platform or else from a peer, and reports it to the owner.
async fn read_state(context: &PeerContext, status: SyncStatus) {
    let read_started = Instant::now();
    let message = match read_platform(context).await {
        Ok(roster) => OwnerMessage::Confirmed {
            read_started,
            roster: Some(roster),
            stale_age: None,
        },
        Err(error) => {
            log::warn!(event = "platform_state_read_failed", error:% = error; "");
            let Some(copy) = read_peers(context, status).await else {
                if status.untrusted {
                    log::warn!(event = "no_state_available"; "");
                }
                return;
            };
            apply_state_copy(context, copy, read_started).await
        }
    };
    // The owner ends only with the process.
    let _ = context.owner.send(message).await;
}

/// Reads roster, fleet record and configuration version from the platform, in this
/// order.
///
/// Because of the order, a roster that gives this process a place is never newer than
/// the fleet record in force.
async fn read_platform(context: &PeerContext) -> Result<EntryRoster, RecoverError> {
    let stored = roster::read(context).await.context(RosterSnafu)?;
    let key = format!("fleet/{}", context.identity.dc);
    let fleet = context.client.get(&key).await.context(PlatformSnafu)?;
    if let Some(fleet) = fleet {
        let wire: FleetWire = serde_json::from_slice(&fleet.value).context(DecodeSnafu)?;
        let record = FleetRecord::try_from(wire).context(NameSnafu)?;
        exchange::apply_fleet_record(context, Arc::new(record)).await;
    }
    let head = context.client.get(HEAD_KEY).await.context(PlatformSnafu)?;
    if let Some(head) = head {
        let head: HeadWire = serde_json::from_slice(&head.value).context(DecodeSnafu)?;
        let mut config = context.config.clone();
        let in_force = config.wait_for(|config| config.version >= head.version);
        if timeout(CONFIG_LIMIT, in_force).await.is_err() {
            return ConfigBehindSnafu {
                version: head.version,
            }
            .fail();
        }
    }
    Ok(stored.roster)
}

/// Reads the full state from the first peer of this data centre that answers.
///
/// If none does, applies the configuration of a peer of another data centre and
/// returns `None`.
async fn read_peers(context: &PeerContext, status: SyncStatus) -> Option<StateCopy> {
    let limit = context.settings.control.sync.max(MIN_CALL_LIMIT);
    let roster = context.roster.borrow().clone();
    let entries = roster.entries.values().map(|entry| entry.control_address);
    let local: BTreeSet<SocketAddr> = context.local_peers().chain(entries).collect();
    let local = local
        .into_iter()
        .filter(|peer| Some(*peer) != status.controller);
    for peer in status.controller.into_iter().chain(local) {
        if peer == context.identity.control_address {
            continue;
        }
        match client::read_state(peer, limit).await {
            Ok(copy) => return Some(copy),
            Err(error) => {
                log::debug!(event = "copy_failed", peer:% = peer, error:% = error; "");
            }
        }
    }
    for peer in context.remote_peers().into_values().flatten() {
        if let Ok(copy) = client::read_config(peer, limit).await {
            if let Some(config) = copy.config {
                exchange::apply_config(context, ConfigUpdate::Full(config)).await;
            }
            break;
        }
    }
    None
}

/// Applies the state of a peer; the services ignore what is older than their own.
async fn apply_state_copy(
    context: &PeerContext,
    copy: StateCopy,
    read_started: Instant,
) -> OwnerMessage {
    if let Some(config) = copy.config {
        exchange::apply_config(context, ConfigUpdate::Full(config)).await;
    }
    if let Some(fleet) = copy.fleet {
        exchange::apply_fleet_record(context, fleet).await;
    }
    OwnerMessage::Confirmed {
        read_started,
        roster: copy.roster,
        stale_age: Some(Duration::from_millis(copy.age_ms)),
    }
}

/// Announces this entry VM to the peers of the data centre, unless its incarnation is
/// in the roster.
async fn announce(context: &PeerContext, status: SyncStatus) {
    let identity = &context.identity;
    let roster = context.roster.borrow().clone();
    let entry = roster.entries.get(&identity.name);
    if entry.is_some_and(|entry| entry.incarnation == identity.incarnation) {
        return;
    }
    let limit = context.settings.control.sync.max(MIN_CALL_LIMIT);
    let answer = exchange::push_answer(context).await;
    let entries = roster.entries.values().map(|entry| entry.control_address);
    let peers = context
        .local_peers()
        .chain(status.controller)
        .chain(entries);
    for peer in peers.collect::<BTreeSet<_>>() {
        if peer == identity.control_address {
            continue;
        }
        if let Err(error) = client::announce(peer, &answer, limit).await {
            log::debug!(event = "announce_failed", peer:% = peer, error:% = error; "");
        }
    }
}
