//! Arithmetic on resource amounts, and scores for choosing among workers.

use crate::config::ResourceAmount;

/// Scores a worker that has the capacity for a task; the lowest score is preferred.
pub type FitScore = fn(free: ResourceAmount, capacity: ResourceAmount) -> u64;

/// Prefers the worker with the least free capacity, to keep space for large tasks.
#[must_use]
pub fn best_fit(free: ResourceAmount, capacity: ResourceAmount) -> u64 {
    let permille = |free: u64, capacity: u64| free * 1000 / capacity.max(1);
    // Workers with free accelerators are kept for tasks that need them.
    u64::from(free.accelerators) * 10_000
        + permille(free.cpu_millis, capacity.cpu_millis)
        + permille(free.memory_mb, capacity.memory_mb)
}

/// Returns whether `available` is enough for `need` in each resource.
#[must_use]
pub fn covers(available: ResourceAmount, need: ResourceAmount) -> bool {
    need.cpu_millis <= available.cpu_millis
        && need.memory_mb <= available.memory_mb
        && need.accelerators <= available.accelerators
}

/// Adds two amounts; a resource that would overflow gets its maximum value.
#[must_use]
pub fn saturating_add(a: ResourceAmount, b: ResourceAmount) -> ResourceAmount {
    ResourceAmount {
        cpu_millis: a.cpu_millis.saturating_add(b.cpu_millis),
        memory_mb: a.memory_mb.saturating_add(b.memory_mb),
        accelerators: a.accelerators.saturating_add(b.accelerators),
    }
}

/// Subtracts `b` from `a`; a resource that would become negative gets 0.
#[must_use]
pub fn saturating_sub(a: ResourceAmount, b: ResourceAmount) -> ResourceAmount {
    ResourceAmount {
        cpu_millis: a.cpu_millis.saturating_sub(b.cpu_millis),
        memory_mb: a.memory_mb.saturating_sub(b.memory_mb),
        accelerators: a.accelerators.saturating_sub(b.accelerators),
    }
}

/// Returns the larger amount of each resource.
#[must_use]
pub fn component_max(a: ResourceAmount, b: ResourceAmount) -> ResourceAmount {
    ResourceAmount {
        cpu_millis: a.cpu_millis.max(b.cpu_millis),
        memory_mb: a.memory_mb.max(b.memory_mb),
        accelerators: a.accelerators.max(b.accelerators),
    }
}
