//! Ejection of backend servers that fail.
//!
//! Consecutive failures eject a VM for a period that doubles with each further
//! ejection. After the period it gets one request at a time until one succeeds.
//! At most a share of a pool's VMs is ejected at once, so that a correlated
//! failure never empties the pool.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::names::PoolName;
use crate::names::VmName;

/// Consecutive failures that eject a VM.
pub const EJECT_FAILURES: u32 = 5;
/// Length of the first ejection.
pub const FIRST_EJECTION: Duration = Duration::from_secs(2);
/// Longest ejection.
pub const MAX_EJECTION: Duration = Duration::from_secs(120);
/// One in so many of a pool's VMs may be ejected at once.
pub const EJECT_DIVISOR: usize = 2;

/// Why a request to a backend server counts as failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailureCause {
    /// No connection.
    Connect,
    /// The connection ended without a whole answer of its own.
    Broken,
    /// No answer long after the deadline.
    Overdue,
    /// The backend server says that it failed.
    ServerError,
}

impl FailureCause {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Broken => "broken",
            Self::Overdue => "overdue",
            Self::ServerError => "server-error",
        }
    }
}

impl fmt::Display for FailureCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// A VM that gets no work, or one request at a time, because it failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EjectedVm {
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Cause of the last failure.
    pub cause: FailureCause,
    /// End of the ejection, as time since the start of the process.
    pub until: Duration,
    /// Ejections in a row.
    pub ejections: u32,
    /// Whether the period has ended and the VM is on trial.
    pub probing: bool,
}

/// Failures of VMs; VMs without any are left out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthState {
    failures: BTreeMap<VmName, u32>,
    ejected: BTreeMap<VmName, EjectedVm>,
}

/// The VM of a request that has ended.
#[derive(Clone, Copy, Debug)]
pub struct HealthView<'a> {
    /// The VM.
    pub vm: &'a VmName,
    /// Its pool.
    pub pool: &'a PoolName,
    /// Number of the pool's VMs that take work, the ejected ones included.
    pub pool_size: usize,
}

impl HealthState {
    /// Counts a success; tells whether the VM's standing changed.
    pub fn record_success(&mut self, vm: &VmName) -> bool {
        self.failures.remove(vm);
        let probing = self.ejected.get(vm).is_some_and(|ejected| ejected.probing);
        // An answer to a request sent before the ejection proves nothing new.
        probing && self.ejected.remove(vm).is_some()
    }

    /// Counts a failure; tells whether the VM's standing changed.
    pub fn record_failure(
        &mut self,
        now: Duration,
        view: HealthView<'_>,
        cause: FailureCause,
    ) -> bool {
        if let Some(ejected) = self.ejected.get_mut(view.vm) {
            let again = ejected.probing;
            if again {
                ejected.ejections += 1;
                ejected.until = now + ejection_period(ejected.ejections);
                ejected.cause = cause;
                ejected.probing = false;
            }
            return again;
        }
        let failures = self.failures.entry(view.vm.clone()).or_default();
        *failures = failures.saturating_add(1);
        let ejected = self.ejected.values();
        let ejected = ejected.filter(|ejected| ejected.pool == *view.pool).count();
        if *failures < EJECT_FAILURES || ejected >= view.pool_size / EJECT_DIVISOR {
            return false;
        }
        let ejected = EjectedVm {
            pool: view.pool.clone(),
            cause,
            until: now + ejection_period(1),
            ejections: 1,
            probing: false,
        };
        self.ejected.insert(view.vm.clone(), ejected);
        true
    }

    /// Puts VMs on trial whose period has ended; tells whether there was one.
    pub fn tick(&mut self, now: Duration) -> bool {
        let ended = self.ejected.values_mut();
        let ended = ended.filter(|ejected| !ejected.probing && ejected.until <= now);
        let ended = ended.map(|ejected| ejected.probing = true);
        ended.count() > 0
    }

    /// Forgets VMs that are not known any more or have changed pool.
    pub fn retain(&mut self, pool_of: impl Fn(&VmName) -> Option<PoolName>) {
        self.failures.retain(|vm, _| pool_of(vm).is_some());
        self.ejected
            .retain(|vm, ejected| pool_of(vm).as_ref() == Some(&ejected.pool));
    }

    /// Returns how many of `share` slots the VM may use.
    #[must_use]
    pub fn allowed_slots(&self, vm: &VmName, share: u32) -> u32 {
        match self.ejected.get(vm) {
            None => share,
            Some(ejected) => share.min(u32::from(ejected.probing)),
        }
    }

    /// Returns the VMs that are ejected or on trial.
    #[must_use]
    pub fn ejected(&self) -> &BTreeMap<VmName, EjectedVm> {
        &self.ejected
    }
}

fn ejection_period(ejections: u32) -> Duration {
    let doublings = (ejections - 1).min(16);
    (FIRST_EJECTION * (1 << doublings)).min(MAX_EJECTION)
}
