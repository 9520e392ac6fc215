//! When an entry VM bids for the shard.

use std::time::Duration;

use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::unix_ms;
use crate::kernel::ShutdownPhase;
use crate::service::jobs::claim::was_last_owner;
use crate::service::jobs::exchange::address_of;
use crate::service::jobs::owner::OwnerContext;

/// Longest draw before a bid, so that not all bid at once.
const BID_SPREAD: Duration = Duration::from_millis(40);

/// Time given to a living former owner to put its key back.
const FORMER_GRACE: Duration = Duration::from_millis(700);

/// Limit on asking a former owner whether it lives: a few round trips.
const FORMER_LIMIT: Duration = Duration::from_millis(120);

/// Pause of an entry VM that reaches neither others nor the store.
const CUT_OFF_WAIT: Duration = Duration::from_millis(200);

/// How much longer the smallest entry VMs wait, so that larger ones win, also when a
/// larger owner needs half a second to put its key back: at 350 workers the owner
/// takes more than a small one has.
const SMALL_WAIT: Duration = Duration::from_millis(2000);

/// How much longer an entry VM waits that was started clearly before another one.
const OLD_WAIT: Duration = Duration::from_millis(60);

/// Difference of two starts from which they belong to different rounds, in
/// milliseconds.
const ROLL_GAP_MS: u64 = 4000;

/// Time after the start of a process before its first bid: the others, and which of
/// them are large, are known by then.
const REGISTER_WAIT: Duration = Duration::from_millis(350);

/// How much longer an entry VM that has just started waits for the last owner, if that
/// was another one: the last owner may go on moving VMs at once.
const LAST_OWNER_WAIT: Duration = Duration::from_millis(250);

pub(super) fn is_leaving(context: &OwnerContext) -> bool {
    *context.phase.borrow() > ShutdownPhase::Running
}

/// Waits until a bid makes sense; returns the revision that the owner's key has.
pub(super) async fn wait_to_claim(context: &mut OwnerContext) -> Option<u64> {
    loop {
        if is_leaving(context) {
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
            // A former life of this process has ended: its address is bound again.
            Some((owner, revision)) if owner.name == context.settings.name && revision > 0 => {
                return Some(revision);
            }
            None if synced => {
                let fresh = settle_pause(context);
                sleep(fresh).await;
                if !fresh.is_zero() && !was_last_owner(&context.settings, &context.link).await {
                    sleep(LAST_OWNER_WAIT).await;
                }
                sleep(bid_pause(context)).await;
                if let Some(former) = former.filter(|former| former.name != context.settings.name)
                    && let Some(address) = address_of(&former)
                    && let Some(message) =
                        context.exchange.send(address, u64::MAX, FORMER_LIMIT).await
                    && message.owning
                {
                    log::info!(event = "former_owner_lives", owner = former.name.as_str(); "");
                    let reclaimed = context.members.wait_for(|state| state.owner.is_some());
                    let _ = timeout(FORMER_GRACE, reclaimed).await;
                }
                if context.exchange.is_disconnected() {
                    sleep(CUT_OFF_WAIT).await;
                    continue;
                }
                if context.members.borrow().owner.is_none() && !is_leaving(context) {
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

/// Returns the pause before a bid: short for the largest entry VMs, longer for small ones.
fn bid_pause(context: &OwnerContext) -> Duration {
    let (own, most) = (
        context.settings.share_millicores(),
        context.members.borrow().max_share_millicores.max(1),
    );
    let lack = 1.0 - (own as f64 / most as f64).min(1.0);
    let latest_start_ms = context.members.borrow().latest_start_ms;
    // While entry VMs are restarted in turn, one that has had its turn stays.
    let old = context.started_ms + ROLL_GAP_MS < latest_start_ms;
    let wait = if old { OLD_WAIT } else { Duration::ZERO };
    BID_SPREAD.mul_f64(rand::random()) + SMALL_WAIT.mul_f64(lack) + wait
}

/// Returns the rest of the time in which entry VMs that start together register.
fn settle_pause(context: &OwnerContext) -> Duration {
    let age_ms = unix_ms().saturating_sub(context.started_ms);
    REGISTER_WAIT.saturating_sub(Duration::from_millis(age_ms))
}
