//! Decides when an entry VM claims the shard.
//!
//! All entry VMs are candidates once the owner's key is gone. Each waits before its
//! claim, longer if another one is better suited, and the first claim succeeds.

use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::unix_ms;
use crate::kernel::ShutdownPhase;
use crate::service::jobs::claim::was_last_owner;
use crate::service::jobs::exchange::address_of;
use crate::service::jobs::owner::OwnerContext;

/// Upper bound of the random delay before a claim, so that not all entry VMs claim at
/// once.
const CLAIM_JITTER: Duration = Duration::from_millis(40);

/// How long an entry VM waits for a former owner that still runs to restore its key.
const FORMER_OWNER_GRACE: Duration = Duration::from_millis(700);

/// Time limit of the message that asks a former owner whether it still runs: a few round
/// trips.
const FORMER_OWNER_LIMIT: Duration = Duration::from_millis(120);

/// Pause between two checks of an entry VM that is disconnected: it reaches neither the
/// owner nor the store.
const DISCONNECTED_PAUSE: Duration = Duration::from_millis(200);

/// Upper bound of the delay that grows as the CPU share of an entry VM falls below the
/// largest one. This lets the entry VMs with the largest share claim first, even if one
/// of them was the owner and needs half a second to restore its key. With 350 workers,
/// the owner needs more CPU time than a small entry VM has.
const SMALL_SHARE_DELAY: Duration = Duration::from_millis(2000);

/// Added to the claim delay of an entry VM that started more than [`RESTART_GAP_MS`]
/// before another one.
const EARLIER_START_DELAY: Duration = Duration::from_millis(60);

/// Difference between two process starts from which on they belong to different rounds
/// of restarts, in milliseconds.
const RESTART_GAP_MS: u64 = 4000;

/// Time after the start of a process before its first claim; by then the other entry VMs
/// and their CPU shares are known.
const REGISTRATION_DELAY: Duration = Duration::from_millis(350);

/// Added to the claim delay of an entry VM that has just started, if another one was the
/// last owner. The last owner can continue to move VMs at once, while any other must
/// first wait for its permits to end.
const LAST_OWNER_DELAY: Duration = Duration::from_millis(250);

pub(super) fn is_shutting_down(context: &OwnerContext) -> bool {
    *context.phase.borrow() > ShutdownPhase::Running
}

/// Waits until this entry VM should claim the shard; returns the revision that the
/// owner's key must have for the claim, 0 for no such key. Returns none once a shutdown
/// begins.
pub(super) async fn wait_to_claim(context: &mut OwnerContext) -> Option<u64> {
    loop {
        if is_shutting_down(context) {
            return None;
        }
        let (synced, owner, former) = {
            let members = context.members.borrow_and_update();
            (
                members.synced,
                members.owner.clone(),
                members.former_owner.clone(),
            )
        };
        match owner {
            // The owner is an earlier incarnation of this process. It has ended, since
            // this process could bind its address.
            Some((owner, revision)) if owner.name == context.settings.name && revision > 0 => {
                return Some(revision);
            }
            None if synced => {
                let register_delay = registration_delay(context);
                sleep(register_delay).await;
                if !register_delay.is_zero()
                    && !was_last_owner(&context.settings, &context.link).await
                {
                    sleep(LAST_OWNER_DELAY).await;
                }
                sleep(claim_delay(context)).await;
                if let Some(former) = former.filter(|former| former.name != context.settings.name)
                    && let Some(address) = address_of(&former)
                    && let Some(message) = context
                        .exchange
                        .send(address, u64::MAX, Vec::new(), FORMER_OWNER_LIMIT)
                        .await
                    && message.owning
                {
                    log::info!(event = "former_owner_alive", owner = former.name.as_str(); "");
                    let reclaimed = context.members.wait_for(|state| state.owner.is_some());
                    let _ = timeout(FORMER_OWNER_GRACE, reclaimed).await;
                }
                if context.exchange.is_disconnected() {
                    sleep(DISCONNECTED_PAUSE).await;
                    continue;
                }
                if context.members.borrow().owner.is_none() && !is_shutting_down(context) {
                    return Some(0);
                }
                continue;
            }
            _ => {}
        }
        let mut phase = context.phase.clone();
        tokio::select! {
            _ = context.members.changed() => {}
            _ = phase.changed() => {}
        }
    }
}

/// Returns the delay before a claim: short for the entry VMs with the largest CPU share,
/// longer for those with a smaller one.
fn claim_delay(context: &OwnerContext) -> Duration {
    let (own, max) = (
        context.settings.share_millicores(),
        context.members.borrow().max_share_millicores.max(1),
    );
    let missing_share = 1.0 - (own as f64 / max as f64).min(1.0);
    let latest_start_ms = context.members.borrow().latest_start_ms;
    // During a rolling restart, an entry VM that was restarted already will not be
    // restarted again, so it should become the owner.
    let starts_earlier = context.started_ms + RESTART_GAP_MS < latest_start_ms;
    let start_delay = if starts_earlier {
        EARLIER_START_DELAY
    } else {
        Duration::ZERO
    };
    CLAIM_JITTER.mul_f64(rand::random()) + SMALL_SHARE_DELAY.mul_f64(missing_share) + start_delay
}

/// Returns the rest of [`REGISTRATION_DELAY`] since the start of this process, in which
/// entry VMs that started together register.
fn registration_delay(context: &OwnerContext) -> Duration {
    let age_ms = unix_ms().saturating_sub(context.started_ms);
    REGISTRATION_DELAY.saturating_sub(Duration::from_millis(age_ms))
}
