//! Amounts of resources: sums, and orders among workers with room.

use crate::config::ResourceAmount;

/// Compares workers with room: the least key is taken.
pub type FitScore = fn(free: ResourceAmount, capacity: ResourceAmount) -> u64;

/// Prefers the worker with the least room, so that large tasks find one later.
#[must_use]
pub fn best_fit(free: ResourceAmount, capacity: ResourceAmount) -> u64 {
    let share = |free: u64, capacity: u64| free * 1000 / capacity.max(1);
    // Workers with free accelerators are kept for tasks that need them.
    u64::from(free.accelerators) * 10_000
        + share(free.cpu_millis, capacity.cpu_millis)
        + share(free.memory_mb, capacity.memory_mb)
}

/// Tells whether `room` is enough for `need`.
#[must_use]
pub fn covers(room: ResourceAmount, need: ResourceAmount) -> bool {
    need.cpu_millis <= room.cpu_millis
        && need.memory_mb <= room.memory_mb
        && need.accelerators <= room.accelerators
}

/// Adds two amounts.
#[must_use]
pub fn saturating_add(a: ResourceAmount, b: ResourceAmount) -> ResourceAmount {
    ResourceAmount {
        cpu_millis: a.cpu_millis.saturating_add(b.cpu_millis),
        memory_mb: a.memory_mb.saturating_add(b.memory_mb),
        accelerators: a.accelerators.saturating_add(b.accelerators),
    }
}

/// Subtracts `b` from `a`, never below nothing.
#[must_use]
pub fn saturating_sub(a: ResourceAmount, b: ResourceAmount) -> ResourceAmount {
    ResourceAmount {
        cpu_millis: a.cpu_millis.saturating_sub(b.cpu_millis),
        memory_mb: a.memory_mb.saturating_sub(b.memory_mb),
        accelerators: a.accelerators.saturating_sub(b.accelerators),
    }
}

/// Takes the larger of each resource.
#[must_use]
pub fn component_max(a: ResourceAmount, b: ResourceAmount) -> ResourceAmount {
    ResourceAmount {
        cpu_millis: a.cpu_millis.max(b.cpu_millis),
        memory_mb: a.memory_mb.max(b.memory_mb),
        accelerators: a.accelerators.max(b.accelerators),
    }
}
