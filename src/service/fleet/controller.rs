//! Loop of the controller: claims the fleet record once the lease is held, then runs
//! rounds until the lease is lost.

use std::collections::BTreeMap;
use std::sync::Arc;

use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;

use super::ControllerReport;
use super::ControllerTerm;
use super::FleetError;
use super::failure_backoff;
use super::lease::HeldLease;
use super::round::TermContext;
use super::round::TermState;
use crate::kernel::ServiceKernel;
use crate::names::EntryName;
use crate::peer::EntryAck;
use crate::service::config::ConfigView;
use crate::service::entry;
use crate::service::entry::DispatchInbox;
use crate::service::peers;
use crate::service::peers::PeerView;

/// Maximum number of consecutive rounds without a delay, each after one that has
/// written something.
const MAX_IMMEDIATE_ROUNDS: u32 = 8;

/// Senders of the controller's views.
pub(super) struct ControllerSenders {
    pub term: watch::Sender<ControllerTerm>,
    pub report: watch::Sender<Arc<ControllerReport>>,
}

/// Runs the controller; never returns.
pub(super) async fn run(
    kernel: &ServiceKernel,
    context: &TermContext<'_>,
    mut config: ConfigView,
    senders: &ControllerSenders,
) {
    let sync = context.settings.control.sync;
    let mut backoff = failure_backoff(sync);
    let mut lease = context.lease.clone();
    let mut term = None;
    let mut immediate_rounds = 0;
    loop {
        let held = lease.borrow_and_update().clone();
        let held = held.filter(|held| Instant::now() < held.expires_at);
        let Some(held) = held else {
            term = None;
            senders.publish(None, &term);
            // Cannot fail: the sender of the lease is dropped only when the service ends.
            let _ = lease.changed().await;
            continue;
        };
        senders.publish(Some(&held), &term);
        match run_round(kernel, context, &mut config, senders, &held, &mut term).await {
            Ok(wrote) => {
                backoff.reset();
                immediate_rounds = if wrote { immediate_rounds + 1 } else { 0 };
                if !wrote || immediate_rounds > MAX_IMMEDIATE_ROUNDS {
                    immediate_rounds = 0;
                    tokio::select! {
                        () = sleep(sync) => {}
                        _ = config.changed() => {}
                        _ = lease.changed() => {}
                    }
                }
            }
            Err(error) => {
                log::warn!(event = "controller_round_failed", error:% = error; "");
                if matches!(error, FleetError::NotController { .. }) {
                    term = None;
                }
                sleep(backoff.next_pause(rand::random())).await;
            }
        }
    }
}

impl ControllerSenders {
    fn publish(&self, held: Option<&HeldLease>, term: &Option<TermState>) {
        let current = ControllerTerm {
            epoch: term.as_ref().map_or(0, TermState::epoch),
            expires_at: held.map(|held| held.expires_at),
        };
        self.term.send_if_modified(|known| {
            let changed = *known != current;
            *known = current;
            changed
        });
        if held.is_none() {
            self.report.send_replace(Arc::default());
        }
    }
}

/// Claims the record, or runs one round if the term has claimed it. Returns whether
/// anything was written.
async fn run_round(
    kernel: &ServiceKernel,
    context: &TermContext<'_>,
    config: &mut ConfigView,
    senders: &ControllerSenders,
    held: &HeldLease,
    term: &mut Option<TermState>,
) -> Result<bool, FleetError> {
    term.take_if(|term| term.lease_id != held.id);
    let Some(state) = term else {
        *term = Some(TermState::claim(context, held).await?);
        senders.publish(Some(held), term);
        return Ok(true);
    };
    let config = config.borrow_and_update().clone();
    let acks = member_acks(kernel, &context.settings.name).await;
    let result = state.run_round(context, &config, acks.clone()).await;
    let report = state.report(context, &config, &acks);
    senders.report.send_replace(Arc::new(report));
    result
}

/// Returns the last acknowledgement received from each member; that of this entry VM
/// comes directly from its dispatcher.
async fn member_acks(kernel: &ServiceKernel, own: &EntryName) -> BTreeMap<EntryName, EntryAck> {
    let mut acks = BTreeMap::new();
    if let Ok(peers) = kernel.find::<PeerView>(peers::NAME) {
        let state = peers.borrow().clone();
        let members = state.members.iter();
        acks.extend(members.map(|(name, member)| (name.clone(), member.ack.clone())));
    }
    if let Ok(inbox) = kernel.find::<DispatchInbox>(entry::NAME) {
        acks.extend(inbox.fetch_ack().await.map(|ack| (own.clone(), ack)));
    }
    acks
}
