//! Choice of the VMs that a maintenance wave stops next.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::config::FleetConfig;
use crate::fleet::FleetRecord;
use crate::fleet::PoolLedger;
use crate::names::PoolName;
use crate::names::VmName;

/// What the planner of one data centre sees.
#[derive(Clone, Copy, Debug)]
pub struct WaveView<'a> {
    /// Configuration in force, with the wave that operators ask for.
    pub config: &'a FleetConfig,
    /// VMs of this data centre.
    pub fleet: &'a FleetRecord,
    /// Ledgers of all pools, over all data centres.
    pub ledgers: &'a BTreeMap<PoolName, PoolLedger>,
    /// VMs of other data centres whose records are no longer refreshed; they
    /// count as out of service.
    pub unseen: &'a BTreeSet<VmName>,
    /// Time, in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// Returns VMs to stop now, most pressing first.
///
/// The caller writes a ledger row for each before it drains the VM, so a view
/// that has been overtaken costs a failed write and no promise.
#[must_use]
pub fn next_stops(view: &WaveView<'_>) -> Vec<VmName> {
    let Some(wave) = view.config.wave.as_ref().filter(|wave| wave.running) else {
        return Vec::new();
    };
    let mut stops = Vec::new();
    for (name, pool) in &view.config.pools {
        if !wave.pools.is_empty() && !wave.pools.contains(name) {
            continue;
        }
        let rows = view.ledgers.get(name).map_or(0, |ledger| ledger.rows.len());
        let unseen = pool.vms.intersection(view.unseen).count();
        let free = (pool.budget as usize).saturating_sub(rows + unseen);
        let due = view.fleet.vms.iter().filter(|(_, vm)| {
            vm.pool == *name && vm.state.takes_work() && vm.maintained_ms < wave.started_ms
        });
        stops.extend(due.take(free).map(|(vm, _)| vm.clone()));
    }
    stops
}
