//! Lease of the controller.
//!
//! An entry VM without the lease watches the lease's key and tries to acquire it when
//! the key is deleted. The holder renews the lease after each third of its time to
//! live. The lease counts as held until its time to live has passed since the last
//! successful renewal was *sent*, by the monotonic clock. A process that was paused
//! thus detects without a call that the lease may have expired.

use std::time::Duration;

use snafu::ResultExt;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;

use super::FleetError;
use super::PlatformSnafu;
use super::failure_backoff;
use crate::kernel::ShutdownPhase;
use crate::kernel::wait_for_phase;
use crate::platform::PlatformClient;
use crate::settings::DaemonSettings;

/// Number of renewals in one time to live.
const RENEWALS_PER_TTL: u32 = 3;

/// A lease that is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct HeldLease {
    pub id: String,
    /// When it expires unless it is renewed.
    pub expires_at: Instant,
}

/// View of the lease; none while this entry VM does not hold it.
pub(super) type LeaseView = watch::Receiver<Option<HeldLease>>;

/// Acquires and renews the lease until the shutdown is announced, then releases it.
pub(super) async fn run(
    settings: &DaemonSettings,
    client: &PlatformClient,
    sender: &watch::Sender<Option<HeldLease>>,
    mut phase: watch::Receiver<ShutdownPhase>,
) {
    tokio::select! {
        () = maintain(settings, client, sender) => {}
        () = wait_for_phase(&mut phase, ShutdownPhase::Announced) => {}
    }
    // The successor then does not have to wait until the lease expires.
    let held = sender.send_replace(None);
    if let Some(lease) = held
        && let Err(error) = client.destroy_lease(&lease.id).await
    {
        log::warn!(event = "lease_release_failed", error:% = error; "");
    }
    std::future::pending::<()>().await;
}

/// Acquires the lease whenever nobody holds it, and renews it while it is held.
async fn maintain(
    settings: &DaemonSettings,
    client: &PlatformClient,
    sender: &watch::Sender<Option<HeldLease>>,
) {
    let mut backoff = failure_backoff(settings.control.sync);
    let mut index = 0;
    loop {
        let held = sender.borrow().clone();
        let result = match held {
            Some(lease) => renew(settings, client, sender, &lease).await,
            None => acquire(settings, client, sender, &mut index).await,
        };
        match result {
            Ok(wait) => {
                backoff.reset();
                sleep(wait).await;
            }
            Err(error) => {
                log::warn!(event = "lease_call_failed", error:% = error; "");
                drop_expired(sender);
                sleep(backoff.next_pause(rand::random())).await;
            }
        }
    }
}

/// Renews the lease and returns the time until the next renewal.
async fn renew(
    settings: &DaemonSettings,
    client: &PlatformClient,
    sender: &watch::Sender<Option<HeldLease>>,
    lease: &HeldLease,
) -> Result<Duration, FleetError> {
    let ttl = settings.control.lease_ttl;
    let sent = Instant::now();
    let renewed = client.renew_lease(&lease.id).await;
    if renewed.context(PlatformSnafu)? {
        let id = lease.id.clone();
        let expires_at = sent + ttl;
        sender.send_replace(Some(HeldLease { id, expires_at }));
        return Ok(ttl / RENEWALS_PER_TTL);
    }
    log::warn!(event = "controller_lease_lost", entry:% = settings.name; "");
    sender.send_replace(None);
    Ok(Duration::ZERO)
}

/// Drops the lease from the view once it may have expired.
fn drop_expired(sender: &watch::Sender<Option<HeldLease>>) {
    let now = Instant::now();
    sender.send_if_modified(|held| held.take_if(|lease| lease.expires_at <= now).is_some());
}

/// Waits for a change of the lease's key, and tries to acquire the lease if nobody
/// holds it. Returns the time to wait before the next call.
async fn acquire(
    settings: &DaemonSettings,
    client: &PlatformClient,
    sender: &watch::Sender<Option<HeldLease>>,
    index: &mut u64,
) -> Result<Duration, FleetError> {
    let key = format!("controller/{}", settings.dc);
    let answer = client.watch(&key, *index).await.context(PlatformSnafu)?;
    *index = answer.index;
    if answer.value.is_some() {
        return Ok(Duration::ZERO);
    }
    let ttl = settings.control.lease_ttl;
    let sent = Instant::now();
    let id = client.create_lease(settings.name.as_str(), ttl).await;
    let id = id.context(PlatformSnafu)?;
    let value = settings.name.as_str().as_bytes().to_vec();
    // If only the answer was lost, the second call with the same lease succeeds.
    let mut acquired = client.acquire(&key, &id, value.clone()).await;
    if acquired.is_err() {
        acquired = client.acquire(&key, &id, value).await;
    }
    if acquired.context(PlatformSnafu)? {
        log::info!(event = "controller_lease_acquired", entry:% = settings.name; "");
        let expires_at = sent + ttl;
        sender.send_replace(Some(HeldLease { id, expires_at }));
        return Ok(ttl / RENEWALS_PER_TTL);
    }
    *index = 0;
    client.destroy_lease(&id).await.context(PlatformSnafu)?;
    Ok(settings.control.sync)
}
