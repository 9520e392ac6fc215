//! What a process does as controller, compared with the lease as the platform has it.

mod support;

use std::time::Duration;

use serde_json::Value;
use standin::platform::PlatformFaults;
use standin::platform::RunningPlatform;
use support::DaemonPlan;
use support::DaemonProcess;
use tokio::time::Instant;
use tokio::time::sleep;

/// Delay of each call; two calls acquire the lease of 2 s, and two more claim the record.
const CALL_DELAY_MS: u64 = 750;
/// Number of times that the lease is acquired while the calls are slow.
const ACQUISITIONS: u32 = 3;

fn epoch(platform: &RunningPlatform) -> u64 {
    let record = platform.state.peek("fleet/dc-1").unwrap_or_default();
    let record: Value = serde_json::from_slice(&record).unwrap_or_default();
    record["epoch"].as_u64().unwrap_or(0)
}

/// A process claimed the fleet record after its lease had expired while it waited for the
/// platform. That ended the term of whoever was the controller by then.
#[tokio::test(flavor = "multi_thread")]
async fn claim_lease_expired() {
    let platform = support::start_platform().await;
    platform.state.set_faults(PlatformFaults {
        delay_ms: CALL_DELAY_MS,
        ..PlatformFaults::default()
    });
    let plan = DaemonPlan::new("e-1", "dc-1");
    let _daemon = DaemonProcess::start(&plan, &[], platform.server.address);
    let (mut acquired, mut claimed, mut held) = (0, 0, false);
    let deadline = Instant::now() + support::WAIT_LIMIT;
    while acquired < ACQUISITIONS {
        assert!(Instant::now() < deadline, "lease acquired {acquired} times");
        let holds = platform.state.peek("controller/dc-1").is_some();
        acquired += u32::from(holds && !held);
        let epoch = epoch(&platform);
        assert!(
            epoch == claimed || held || holds,
            "claimed without the lease"
        );
        (claimed, held) = (epoch, holds);
        sleep(Duration::from_millis(10)).await;
    }
    platform.state.set_faults(PlatformFaults::default());
    support::eventually("record claimed", || async { epoch(&platform) > claimed }).await;
}
