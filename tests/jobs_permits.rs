//! Permits to order VMs: when they may be used, and what a new holder takes over.

use chicorygauge::jobs::codec::encode;
use chicorygauge::jobs::engine::TimePair;
use chicorygauge::jobs::permits::OrderPermits;
use chicorygauge::jobs::permits::PermitRecord;
use chicorygauge::jobs::permits::PermitRow;

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

/// Returns a record as a successor reads it from the store.
fn stored(record: &PermitRecord) -> PermitRecord {
    let bytes = record.encode().expect("an encoded record");
    PermitRecord::decode("key", &bytes).expect("a record")
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

/// The end of a permit was stored as a time of day, so a holder whose clock had been set ahead
/// ordered a VM right after the former one.
#[test]
fn inherit_clock_set_ahead_blocked() {
    for ahead_ms in [2000, 10_000, 3_600_000] {
        let mut former = OrderPermits::default();
        let record = store_permit(&mut former, "m-1", "one", 100);
        let ahead = TimePair {
            boot: 200,
            unix: time(200).unix + ahead_ms,
        };
        let mut permits = OrderPermits::default();
        permits.inherit(stored(&record), "two", WAIT_MS, ahead);
        assert!(permits.is_blocked("m-1", 100 + 1500 + WAIT_MS - 1));
    }
}

/// A permit of long ago must not block its VM anew after each takeover.
#[test]
fn begin_write_old_permit_does_not_block() {
    let mut former = OrderPermits::default();
    store_permit(&mut former, "m-1", "one", 100);
    assert!(!former.is_rewrite_due(300));
    assert!(former.is_rewrite_due(5700));
    let record = former.begin_write("one", time(5700));
    former.write_succeeded();
    let mut permits = OrderPermits::default();
    permits.inherit(stored(&record), "two", WAIT_MS, time(5800));
    assert!(!permits.is_blocked("m-1", 5800));
    // Once no permit is left, the record is written for the last time.
    assert!(former.is_rewrite_due(12_000));
    assert!(former.begin_write("one", time(12_000)).rows.is_empty());
    former.write_succeeded();
    assert!(!former.is_rewrite_due(20_000));
}

/// An earlier version stores nothing but a time of day.
#[test]
fn inherit_of_earlier_version_blocked() {
    let row = PermitRow {
        machine: "m-1".to_owned(),
        holder: "one".to_owned(),
        until_ms: 5,
        left_ms: None,
    };
    let bytes = encode(&PermitRecord { rows: vec![row] }).expect("an earlier record");
    let record = PermitRecord::decode("key", &bytes).expect("a record");
    let mut permits = OrderPermits::default();
    permits.inherit(record, "two", WAIT_MS, time(200));
    assert!(permits.is_blocked("m-1", 200 + 1500 + WAIT_MS - 1));
    assert!(!permits.is_blocked("m-1", 200 + 1500 + WAIT_MS));
}
