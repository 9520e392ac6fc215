//! Conversion of the fleet record into the dispatcher's VMs.

use std::collections::BTreeMap;

use crate::config::FleetConfig;
use crate::config::wire::DEFAULT_SLOTS;
use crate::decide::dispatch::VmTarget;
use crate::decide::health::HealthState;
use crate::fleet::FleetRecord;
use crate::names::PoolName;
use crate::peer::PeerState;

/// Counts the VMs that get new requests, by pool.
pub(super) fn pool_sizes(record: &FleetRecord) -> BTreeMap<PoolName, usize> {
    let mut sizes = BTreeMap::new();
    let serving = record.vms.values().filter(|vm| vm.state.is_serving());
    for vm in serving {
        *sizes.entry(vm.pool.clone()).or_default() += 1;
    }
    sizes
}

/// Returns all VMs, each with the number of slots that this entry VM may use.
pub(super) fn vm_targets(
    record: &FleetRecord,
    config: &FleetConfig,
    peers: &PeerState,
    health: &HealthState,
) -> Vec<VmTarget> {
    let targets = record.vms.iter().map(|(name, vm)| {
        let pool = config.pools.get(&vm.pool);
        let slots = pool.map_or(DEFAULT_SLOTS, |pool| pool.slots);
        let share = peers.share_of(name, slots);
        VmTarget {
            name: name.clone(),
            pool: vm.pool.clone(),
            address: vm.address,
            share: health.allowed_slots(name, share),
            schedulable: vm.state.is_serving(),
        }
    });
    targets.collect()
}
