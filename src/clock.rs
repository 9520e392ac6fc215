//! Clocks.
//!
//! Lease expiry is measured on the boot clock (`CLOCK_BOOTTIME`). Unlike the
//! monotonic clock behind `std::time::Instant`, it advances while the VM is
//! suspended, so a process that resumes sees that its lease has expired.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Returns the time since the VM was booted, including suspended time, in milliseconds.
#[must_use]
pub fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let (seconds, nanos) = (time.tv_sec.max(0), time.tv_nsec.max(0));
    seconds as u64 * 1000 + nanos as u64 / 1_000_000
}

/// Returns the wall-clock time, in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.map_or(0, |time| time.as_millis() as u64)
}
