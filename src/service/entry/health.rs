//! Backend health as seen by one entry VM: ejections with their log, metrics and view.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use crate::decide::health::EjectedVm;
use crate::decide::health::FailureCause;
use crate::decide::health::HealthState;
use crate::decide::health::HealthView;
use crate::fleet::FleetRecord;
use crate::metrics::EJECTED_VMS;
use crate::metrics::EJECTIONS;
use crate::names::PoolName;
use crate::names::VmName;
use crate::service::entry::targets::pool_sizes;

/// VMs that this entry VM has ejected, including those that it is probing.
pub type EjectionMap = BTreeMap<VmName, EjectedVm>;
/// View of the VMs that this entry VM has ejected, updated on each change.
pub type EjectionView = watch::Receiver<Arc<EjectionMap>>;

/// Records successes and failures of VMs and publishes the ejections.
pub(super) struct HealthTracker {
    pub state: HealthState,
    /// Number of VMs that get new requests, by pool.
    pool_sizes: BTreeMap<PoolName, usize>,
    view: watch::Sender<Arc<EjectionMap>>,
}

impl HealthTracker {
    pub(super) fn new(view: watch::Sender<Arc<EjectionMap>>) -> Self {
        Self {
            state: HealthState::default(),
            pool_sizes: BTreeMap::new(),
            view,
        }
    }

    /// Applies the fleet record in force; drops the state of VMs that were removed or
    /// moved to another pool.
    pub(super) fn apply_record(&mut self, record: &FleetRecord) {
        self.pool_sizes = pool_sizes(record);
        let pool_of = |vm: &VmName| record.vms.get(vm).map(|vm| vm.pool.clone());
        self.state.retain(pool_of);
        self.publish();
    }

    /// Records the result of a request; returns whether it ejected the VM or ended
    /// its ejection.
    pub(super) fn record_result(
        &mut self,
        now: Duration,
        record: Option<&FleetRecord>,
        vm: &VmName,
        result: Result<(), FailureCause>,
    ) -> bool {
        let changed = match result {
            Ok(()) => self.state.record_success(vm),
            Err(cause) => self.record_failure(now, record, vm, cause),
        };
        if changed {
            self.publish();
        }
        changed
    }

    fn record_failure(
        &mut self,
        now: Duration,
        record: Option<&FleetRecord>,
        vm: &VmName,
        cause: FailureCause,
    ) -> bool {
        let Some(record) = record.and_then(|record| record.vms.get(vm)) else {
            return false;
        };
        let pool = &record.pool;
        let view = HealthView {
            vm,
            pool,
            pool_size: self.pool_sizes.get(pool).copied().unwrap_or(0),
        };
        let changed = self.state.record_failure(now, view, cause);
        if changed {
            log::warn!(event = "vm_ejected", vm:% = vm, pool:% = pool, cause:% = cause; "");
            let labels = [("pool", pool.to_string()), ("cause", cause.to_string())];
            metrics::counter!(EJECTIONS, &labels).increment(1);
        }
        changed
    }

    fn publish(&self) {
        let ejected = self.state.ejected();
        let changed = self.view.send_if_modified(|current| {
            let changed = **current != *ejected;
            if changed {
                *current = Arc::new(ejected.clone());
            }
            changed
        });
        if changed {
            metrics::gauge!(EJECTED_VMS).set(ejected.len() as f64);
        }
    }
}
