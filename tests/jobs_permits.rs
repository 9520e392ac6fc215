//! Permits to order VMs: when they may be used, and what a new holder takes over.

use chicorygauge::jobs::engine::TimePair;
use chicorygauge::jobs::permits::OrderPermits;
use chicorygauge::jobs::permits::PermitRecord;

const WAIT_MS: u64 = 4000;

fn time(boot: u64) -> TimePair {
    TimePair {
        boot,
        unix: 1_000_000 + boot,
    }
}

/// Requests and stores a permit for one VM and returns the stored record.
fn store_permit(permits: &mut OrderPermits, machine: &str, holder: &str, now: u64) -> PermitRecord {
    assert!(!permits.request_permit(machine, now));
    let record = permits.begin_write(holder, time(now));
    permits.write_succeeded();
    record
}

#[test]
fn request_permit_granted_once_stored() {
    let mut permits = OrderPermits::default();
    assert!(!permits.request_permit("m-1", 100));
    assert!(permits.is_dirty());
    permits.begin_write("one", time(100));
    assert!(
        !permits.request_permit("m-1", 110),
        "the commit is in progress"
    );
    permits.write_failed();
    assert!(permits.is_dirty(), "the permit is to be stored again");
    permits.begin_write("one", time(120));
    permits.write_succeeded();
    assert!(permits.request_permit("m-1", 130));
    assert!(!permits.is_dirty());
    assert!(
        !permits.request_permit("m-1", 10_000),
        "the permit has ended"
    );
}

#[test]
fn inherit_waits_for_listed_vms_only() {
    let mut former = OrderPermits::default();
    let record = store_permit(&mut former, "m-1", "one", 100);
    let mut permits = OrderPermits::default();
    permits.inherit(record, "two", WAIT_MS, time(200));
    assert!(permits.is_blocked("m-1", 100 + WAIT_MS));
    assert!(!permits.request_permit("m-1", 100 + WAIT_MS));
    assert!(
        !permits.is_dirty(),
        "no permit is requested for a blocked VM"
    );
    assert!(!permits.is_blocked("m-2", 200));
}

#[test]
fn inherit_own_earlier_incarnation_does_not_wait() {
    let mut former = OrderPermits::default();
    let record = store_permit(&mut former, "m-1", "one", 100);
    let mut permits = OrderPermits::default();
    permits.inherit(record, "one", WAIT_MS, time(200));
    assert!(!permits.is_blocked("m-1", 200));
}

#[test]
fn begin_write_keeps_former_permits() {
    let mut first = OrderPermits::default();
    let record = store_permit(&mut first, "m-1", "one", 100);
    let mut second = OrderPermits::default();
    second.inherit(record, "two", WAIT_MS, time(200));
    let record = store_permit(&mut second, "m-2", "two", 300);
    // A third holder takes over while both permits still block their VMs.
    let mut third = OrderPermits::default();
    third.inherit(record, "three", WAIT_MS, time(400));
    assert!(third.is_blocked("m-1", 400));
    assert!(third.is_blocked("m-2", 400));
}

#[test]
fn inherit_bounds_the_wait_of_a_fast_clock() {
    let mut former = OrderPermits::default();
    assert!(!former.request_permit("m-1", 100));
    let fast = TimePair {
        boot: 100,
        unix: 9_000_000,
    };
    let record = former.begin_write("one", fast);
    let mut permits = OrderPermits::default();
    permits.inherit(record, "two", WAIT_MS, time(200));
    assert!(!permits.is_blocked("m-1", 200 + WAIT_MS + 2000));
}
