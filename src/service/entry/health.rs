//! Health of the backend servers at one entry VM, with its log, metrics and view.

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

/// VMs that are ejected or on trial at this entry VM.
pub type EjectionMap = BTreeMap<VmName, EjectedVm>;
/// View of the VMs that are ejected or on trial at this entry VM.
pub type EjectionView = watch::Receiver<Arc<EjectionMap>>;

/// Counts failures and publishes what follows from them.
pub(super) struct HealthKeeper {
    pub state: HealthState,
    /// VMs that take work, by pool.
    pool_sizes: BTreeMap<PoolName, usize>,
    view: watch::Sender<Arc<EjectionMap>>,
}

impl HealthKeeper {
    pub(super) fn new(view: watch::Sender<Arc<EjectionMap>>) -> Self {
        Self {
            state: HealthState::default(),
            pool_sizes: BTreeMap::new(),
            view,
        }
    }

    /// Takes the fleet record in force.
    pub(super) fn renew(&mut self, record: &FleetRecord) {
        self.pool_sizes = pool_sizes(record);
        let pool_of = |vm: &VmName| record.vms.get(vm).map(|vm| vm.pool.clone());
        self.state.retain(pool_of);
        self.publish();
    }

    /// Counts the end of a request; tells whether the VM's standing changed.
    pub(super) fn count(
        &mut self,
        now: Duration,
        record: Option<&FleetRecord>,
        vm: &VmName,
        end: Result<(), FailureCause>,
    ) -> bool {
        let changed = match end {
            Ok(()) => self.state.record_success(vm),
            Err(cause) => self.count_failure(now, record, vm, cause),
        };
        if changed {
            self.publish();
        }
        changed
    }

    fn count_failure(
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
