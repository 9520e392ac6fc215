//! Clocks.
//!
//! Leases are counted on the boot clock: unlike the monotonic clock behind
//! `std::time::Instant`, it goes on while the VM is suspended, so a process that
//! wakes up sees that its lease has ended.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the time since the VM was booted, suspended time included, in milliseconds.
#[must_use]
pub fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let (seconds, nanos) = (time.tv_sec.max(0), time.tv_nsec.max(0));
    seconds as u64 * 1000 + nanos as u64 / 1_000_000
}

/// Returns the time of day, in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.map_or(0, |time| time.as_millis() as u64)
}
