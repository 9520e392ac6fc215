//! When VMs that no pool needs may be moved to the standby pool.

use chicorygauge::jobs::rest::FleetNeed;
use chicorygauge::jobs::rest::RestTracker;

/// Returns the need of a fleet of 100 VMs.
fn fleet_need(wanted: usize, forecast: Option<usize>) -> FleetNeed {
    FleetNeed {
        wanted,
        forecast,
        largest_peak: 20,
        present: 100,
    }
}

/// Guards against VMs that rest although they were or will be needed: the summed demand of
/// the last 20 s, the forecast and a burst of 2.2 times a peak all stay present.
#[test]
fn rest_keeps_what_is_needed() {
    let rest = |forecast, wanted: fn(u64) -> usize| {
        let mut tracker = RestTracker::default();
        let mut unneeded = Vec::new();
        for at in (0..60_000).step_by(250) {
            unneeded.push(tracker.update(fleet_need(wanted(at), forecast), at));
        }
        unneeded
    };
    let constant = rest(None, |_| 60);
    assert!(constant[..80].iter().all(|vms| *vms == 0), "within 20 s");
    assert_eq!(constant.last(), Some(&31), "above 60 and 15 %");
    assert_eq!(
        rest(Some(80), |_| 60).last(),
        Some(&20),
        "above the forecast"
    );
    assert_eq!(rest(None, |_| 10).last(), Some(&56), "above 2.2 times 20");
    let peaks = rest(None, |at| if at % 19_000 < 1000 { 95 } else { 10 });
    assert!(peaks.iter().all(|vms| *vms == 0), "a peak each 19 s");
}

/// Guards against VMs that rest after a short pause of the demand: they must have been
/// unneeded for 4 s.
#[test]
fn rest_waits_until_unneeded_for_long() {
    let mut tracker = RestTracker::default();
    for at in (0..30_000).step_by(250) {
        tracker.update(fleet_need(100, None), at);
    }
    let mut first_ms = None;
    for at in (30_000..60_000).step_by(250) {
        if tracker.update(fleet_need(10, None), at) > 0 {
            first_ms = first_ms.or(Some(at));
        }
    }
    let first_ms = first_ms.expect("rest");
    assert!(first_ms >= 30_000 + 20_000 + 4000 - 500, "at {first_ms}");
}
