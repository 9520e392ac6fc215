//! Services of the daemon: tasks that own sockets and state.

pub mod audit;
pub mod config;
pub mod control;
pub mod daemon;
pub mod entry;
pub mod evidence;
pub mod fleet;
pub mod peers;

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the time of day, in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    time.map_or(0, |time| time.as_millis() as u64)
}
