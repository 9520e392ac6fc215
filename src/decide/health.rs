//! Ejection of VMs whose backend servers fail (outlier detection).
//!
//! A VM is ejected after [`EJECT_FAILURES`] consecutive failures, for a period that
//! doubles with each further ejection. After the period it is probed: it gets one
//! request at a time; a success ends the ejection, a failure ejects the VM again.
//! Only a part of a pool's VMs can be ejected at once, so that a correlated failure
//! never empties the pool.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use crate::names::PoolName;
use crate::names::VmName;

/// Number of consecutive failures that eject a VM.
pub const EJECT_FAILURES: u32 = 5;
/// Duration of the first ejection; each further one lasts twice as long.
pub const FIRST_EJECTION: Duration = Duration::from_secs(2);
/// Maximum duration of an ejection.
pub const MAX_EJECTION: Duration = Duration::from_secs(120);
/// The maximum number of VMs ejected at once is the pool size divided by this.
pub const EJECT_DIVISOR: usize = 2;

/// Why a request to a backend server counts as failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailureCause {
    /// Connecting failed, or the connection closed before the request was sent.
    Connect,
    /// The request was sent, but no complete response that matches it was received.
    Broken,
    /// There was no response by the request's deadline plus the overrun limit.
    Overdue,
    /// The backend server answered with a server error.
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

/// A VM that gets no requests, or one at a time, because its backend server failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EjectedVm {
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Cause of the last failure.
    pub cause: FailureCause,
    /// End of the ejection period, as time since the start of the process.
    pub until: Duration,
    /// Number of consecutive ejections, without a successful probe between them.
    pub ejections: u32,
    /// Whether the period has ended and the VM is being probed.
    pub probing: bool,
}

/// Failure counts and ejections of VMs; VMs without failures have no entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthState {
    failures: BTreeMap<VmName, u32>,
    ejected: BTreeMap<VmName, EjectedVm>,
}

/// The VM on which a request has failed, and the size of its pool.
#[derive(Clone, Copy, Debug)]
pub struct HealthView<'a> {
    /// VM whose backend server failed.
    pub vm: &'a VmName,
    /// Pool of the VM.
    pub pool: &'a PoolName,
    /// Number of the pool's serving VMs, including the ejected ones.
    pub pool_size: usize,
}

impl HealthState {
    /// Records a success; returns whether it ended an ejection.
    pub fn record_success(&mut self, vm: &VmName) -> bool {
        self.failures.remove(vm);
        let probing = self.ejected.get(vm).is_some_and(|ejected| ejected.probing);
        // A VM that is ejected but not yet probed stays ejected: the answer belongs to a
        // request that was sent before the ejection.
        probing && self.ejected.remove(vm).is_some()
    }

    /// Records a failure; returns whether it ejected the VM.
    ///
    /// A failure of a VM that is ejected but not yet probed has no effect.
    pub fn record_failure(
        &mut self,
        now: Duration,
        view: HealthView<'_>,
        cause: FailureCause,
    ) -> bool {
        if let Some(ejected) = self.ejected.get_mut(view.vm) {
            let was_probing = ejected.probing;
            if was_probing {
                ejected.ejections += 1;
                ejected.until = now + ejection_period(ejected.ejections);
                ejected.cause = cause;
                ejected.probing = false;
            }
            return was_probing;
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

    /// Starts to probe VMs whose ejection period has ended; returns whether there
    /// was one.
    pub fn tick(&mut self, now: Duration) -> bool {
        let ended = self.ejected.values_mut();
        let ended = ended.filter(|ejected| !ejected.probing && ejected.until <= now);
        let ended = ended.map(|ejected| ejected.probing = true);
        ended.count() > 0
    }

    /// Drops the state of VMs that no longer exist; a VM that has changed pool is no
    /// longer ejected.
    ///
    /// `pool_of` returns the current pool of a VM.
    pub fn retain(&mut self, pool_of: impl Fn(&VmName) -> Option<PoolName>) {
        self.failures.retain(|vm, _| pool_of(vm).is_some());
        self.ejected
            .retain(|vm, ejected| pool_of(vm).as_ref() == Some(&ejected.pool));
    }

    /// Returns how many of the VM's slots may be used out of this entry VM's `share`.
    ///
    /// None during an ejection, at most one while the VM is being probed, else all.
    #[must_use]
    pub fn allowed_slots(&self, vm: &VmName, share: u32) -> u32 {
        match self.ejected.get(vm) {
            None => share,
            Some(ejected) => share.min(u32::from(ejected.probing)),
        }
    }

    /// Returns the VMs that are ejected or being probed.
    #[must_use]
    pub fn ejected(&self) -> &BTreeMap<VmName, EjectedVm> {
        &self.ejected
    }
}

fn ejection_period(ejections: u32) -> Duration {
    let doublings = (ejections - 1).min(16);
    (FIRST_EJECTION * (1 << doublings)).min(MAX_EJECTION)
}
