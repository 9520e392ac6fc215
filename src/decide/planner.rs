//! Selects the VMs that a maintenance wave stops next.
//!
//! A wave maintains VMs in place, within each pool's budget; it moves none. Its
//! [`WavePlan`] limits the number of VMs that are out of service at once.
//!
//! The controllers of all data centres call [`next_stops`] without coordination.
//! On average, each starts a part of the free stops that is proportional to its
//! number of VMs, so that few ledger writes conflict. A controller whose write fails
//! decides again in its next round.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::config::FleetConfig;
use crate::config::MaintenanceRules;
use crate::config::MaintenanceWindow;
use crate::config::PoolConfig;
use crate::config::WaveRequest;
use crate::decide::reserve::PoolShare;
use crate::decide::reserve::WavePlan;
use crate::fleet::FleetRecord;
use crate::fleet::OutageCause;
use crate::fleet::PoolLedger;
use crate::fleet::VmRecord;
use crate::fleet::VmState;
use crate::fleet::WaveProgress;
use crate::names::PoolName;
use crate::names::RackName;
use crate::names::VmName;

const DAY_MINUTES: u64 = 24 * 60;
pub(super) const WEEK_MINUTES: u64 = 7 * DAY_MINUTES;
const MINUTE_MS: u64 = 60_000;
/// Weekday of the Unix epoch, a Thursday, with Monday as 0.
const EPOCH_WEEKDAY: u64 = 3;
/// Minimum number of stops over which the share of failed stops is computed.
pub const MIN_STOPS_FOR_FAILURE_SHARE: u32 = 10;

/// Input of the planner of one data centre.
#[derive(Clone, Copy, Debug)]
pub struct WaveView<'a> {
    /// Configuration in force, with the wave that operators have requested.
    pub config: &'a FleetConfig,
    /// Fleet record of this data centre.
    pub fleet: &'a FleetRecord,
    /// Ledgers of all pools; each covers all data centres.
    pub ledgers: &'a BTreeMap<PoolName, PoolLedger>,
    /// VMs of data centres that no longer refresh their roster; they count as out of
    /// service.
    pub stale_dc_vms: &'a BTreeSet<VmName>,
    /// Time, in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// Returns the VMs to stop now. Those of the pools that need the most rounds come first.
///
/// The caller writes a ledger row for each VM before it drains the VM. If the ledger
/// has changed since `view` was read, that write fails and no VM is stopped.
#[must_use]
pub fn next_stops(view: &WaveView<'_>) -> Vec<VmName> {
    let wave = view.config.wave.as_ref().filter(|wave| wave.running);
    let Some(wave) = wave else {
        return Vec::new();
    };
    let plan = WavePlan::new(view.config, wave);
    let mut stops = pool_stops(view, wave, &plan);
    stops.sort_by(|a, b| b.rounds_left.total_cmp(&a.rounds_left));
    let mut shared = shared_stops(view, &plan);
    let mut racks = RackOutages::new(view.fleet);
    let mut names = Vec::new();
    for pool in &stops {
        let limit = if pool.uses_shared {
            shared
        } else {
            pool.max_stops
        };
        let picks = pick_vms(pool, pool.max_stops.min(limit), &mut racks);
        if pool.uses_shared {
            shared -= picks.len();
        }
        names.extend(picks);
    }
    names
}

/// Returns whether so many stops have failed that the wave must be stopped.
///
/// The share of failed stops is computed over at least
/// [`MIN_STOPS_FOR_FAILURE_SHARE`] stops, so that an early single failure does not
/// stop a large wave.
#[must_use]
pub fn wave_should_stop(progress: &WaveProgress, rules: &MaintenanceRules) -> bool {
    let finished = (progress.returned + progress.failed).max(MIN_STOPS_FOR_FAILURE_SHARE);
    f64::from(progress.failed) > rules.failure_stop_share * f64::from(finished)
}

/// Returns whether some maintenance window is open at a time, or none is defined.
#[must_use]
pub fn window_open(windows: &[MaintenanceWindow], now_ms: u64) -> bool {
    let minute = now_ms / MINUTE_MS + EPOCH_WEEKDAY * DAY_MINUTES;
    let minute = minute % WEEK_MINUTES;
    windows.is_empty()
        || windows.iter().any(|window| {
            window.days.iter().any(|day| {
                let opens = u64::from(*day) * DAY_MINUTES + u64::from(window.start_minute);
                let since = (minute + WEEK_MINUTES - opens % WEEK_MINUTES) % WEEK_MINUTES;
                since < u64::from(window.minutes)
            })
        })
}

/// Stops that may start in one pool.
struct PoolStops<'a> {
    /// Maximum number of stops that this data centre may start now.
    max_stops: usize,
    /// Whether the stops count against the shared part of the reserve.
    uses_shared: bool,
    /// VMs of this data centre that the wave still has to maintain.
    due: Vec<(&'a VmName, &'a VmRecord)>,
    /// Estimated number of rounds until the pool is maintained in all data centres,
    /// a round being the time of one stop.
    rounds_left: f64,
}

fn pool_stops<'a>(
    view: &WaveView<'a>,
    wave: &WaveRequest,
    plan: &WavePlan<'_>,
) -> Vec<PoolStops<'a>> {
    let mut local: BTreeMap<&PoolName, Vec<_>> = BTreeMap::new();
    for (name, vm) in &view.fleet.vms {
        local.entry(&vm.pool).or_default().push((name, vm));
    }
    let pools = plan.pools.iter();
    let open = pools.filter(|(_, pool)| window_open(&pool.config.windows, view.now_ms));
    let stops = open.filter_map(|(name, pool)| {
        let local = local.get(name)?;
        stops_of_pool(view, wave, (name, pool), local)
    });
    stops.collect()
}

fn stops_of_pool<'a>(
    view: &WaveView<'_>,
    wave: &WaveRequest,
    (name, pool): (&PoolName, &PoolShare<'_>),
    local: &[(&'a VmName, &'a VmRecord)],
) -> Option<PoolStops<'a>> {
    // A serving VM with a ledger row is about to be drained.
    let rows = view.ledgers.get(name).map(|ledger| &ledger.rows);
    let serving = local.iter().filter(|(vm, record)| {
        record.state.is_serving() && rows.is_none_or(|rows| !rows.contains_key(*vm))
    });
    let due = serving.clone();
    let due: Vec<_> = due
        .filter(|(_, vm)| vm.maintained_ms < wave.started_ms)
        .copied()
        .collect();
    let out = out_of_service(view, name, pool.config, local);
    let free = (pool.config.budget as usize).saturating_sub(out);
    let free = free.min(pool.limit.saturating_sub(planned_rows(view, name)));
    if due.is_empty() || free == 0 {
        return None;
    }
    let size = pool.config.vms.len().max(local.len());
    let local_free = local_part(view, name.as_str(), free, local.len(), size);
    // One VM of the pool keeps serving, because a data centre that loses contact with
    // the others has only its own VMs.
    let min_serving = usize::from(local.len() > 1);
    let stops_left = due.len() as f64 * size as f64 / local.len() as f64;
    Some(PoolStops {
        max_stops: local_free.min(serving.count().saturating_sub(min_serving)),
        uses_shared: pool.uses_shared,
        due,
        rounds_left: stops_left / pool.limit as f64,
    })
}

/// Counts the VMs of a pool that are or count as out of service: those with a ledger
/// row, those of data centres that no longer refresh their roster, and local ones
/// that do not serve.
fn out_of_service(
    view: &WaveView<'_>,
    name: &PoolName,
    pool: &PoolConfig,
    local: &[(&VmName, &VmRecord)],
) -> usize {
    let rows = view.ledgers.get(name).map(|ledger| &ledger.rows);
    let has_row = |vm: &VmName| rows.is_some_and(|rows| rows.contains_key(vm));
    let stale = view.stale_dc_vms.iter();
    let stale = stale.filter(|vm| pool.vms.contains(*vm) && !has_row(vm));
    let not_serving = local.iter();
    let not_serving = not_serving.filter(|(vm, record)| !record.state.is_serving() && !has_row(vm));
    rows.map_or(0, BTreeMap::len) + stale.count() + not_serving.count()
}

/// Counts the ledger rows of a pool that are for planned outages.
fn planned_rows(view: &WaveView<'_>, pool: &PoolName) -> usize {
    let rows = view.ledgers.get(pool).into_iter();
    let rows = rows.flat_map(|ledger| ledger.rows.values());
    let planned = rows.filter(|row| matches!(row.cause, OutageCause::Planned(_)));
    planned.count()
}

/// Returns the maximum number of stops that this data centre may start in the pools
/// that use the shared part of the reserve.
fn shared_stops(view: &WaveView<'_>, plan: &WavePlan<'_>) -> usize {
    let sharing = plan.pools.iter().filter(|(_, pool)| pool.uses_shared);
    let planned = sharing.clone().map(|(name, _)| planned_rows(view, name));
    let free = plan.shared.saturating_sub(planned.sum());
    let size = sharing.map(|(_, pool)| pool.config.vms.len()).sum();
    let shares = |pool| plan.pools.get(pool).is_some_and(|pool| pool.uses_shared);
    let local = view.fleet.vms.values().filter(|vm| shares(&vm.pool));
    local_part(view, "", free, local.count(), size)
}

/// Returns the part of `free` stops that this data centre may start in this round, as
/// it has `local` of `total` VMs.
///
/// The share is rounded up with a probability equal to its fraction, so that even
/// with few free stops every data centre gets some over time. The random
/// number is a hash of the view, which keeps this a pure function.
fn local_part(view: &WaveView<'_>, salt: &str, free: usize, local: usize, total: usize) -> usize {
    if local >= total {
        return free;
    }
    let share = free as f64 * local as f64 / total as f64;
    let first = view.fleet.vms.keys().next().map_or("", VmName::as_str);
    let seed = xxh3_64_with_seed(first.as_bytes(), view.now_ms);
    let draw = xxh3_64_with_seed(salt.as_bytes(), seed) as f64 / u64::MAX as f64;
    let extra = usize::from(draw < share.fract());
    share as usize + extra
}

/// For each rack, whether any of its VMs has failed, and how many are out of service.
struct RackOutages<'a>(BTreeMap<&'a RackName, (bool, usize)>);

impl<'a> RackOutages<'a> {
    fn new(fleet: &'a FleetRecord) -> Self {
        let mut racks: BTreeMap<_, (bool, usize)> = BTreeMap::new();
        for vm in fleet.vms.values().filter(|vm| !vm.state.is_serving()) {
            let rack = racks.entry(&vm.rack).or_default();
            rack.0 |= vm.state == VmState::Failed;
            rack.1 += 1;
        }
        Self(racks)
    }

    fn of_vm(&self, vm: &VmRecord) -> (bool, usize) {
        self.0.get(&vm.rack).copied().unwrap_or_default()
    }

    fn add(&mut self, vm: &'a VmRecord) {
        self.0.entry(&vm.rack).or_default().1 += 1;
    }
}

/// Picks VMs from racks without failed VMs first, then from racks with the fewest VMs
/// out of service, then those whose last maintenance is longest ago.
///
/// Few VMs are therefore lost in a rack before it is known that its VMs do not return
/// from maintenance.
fn pick_vms<'a>(pool: &PoolStops<'a>, count: usize, racks: &mut RackOutages<'a>) -> Vec<VmName> {
    let mut due = pool.due.clone();
    due.sort_by_key(|(name, vm)| Reverse((vm.maintained_ms, *name)));
    let mut picks = Vec::new();
    while picks.len() < count {
        let best = (0..due.len()).rev().min_by_key(|i| racks.of_vm(due[*i].1));
        let Some(best) = best else {
            break;
        };
        let (name, vm) = due.remove(best);
        racks.add(vm);
        picks.push(name.clone());
    }
    picks
}
