//! Choice of the VMs that a maintenance wave stops next.
//!
//! A wave maintains VMs in place, within each pool's budget; it moves none. How
//! many VMs it takes out of service at once follows from its
//! [`WavePlan`].
//!
//! The controllers of all data centres call [`next_stops`] without talking to
//! each other. Each takes, on average, its own VMs' part of what is free, so that
//! few writes to a ledger race; a lost race costs one write and is tried again
//! in the next round.

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

/// Minutes of a day.
const DAY_MINUTES: u64 = 24 * 60;
/// Minutes of a week.
pub(super) const WEEK_MINUTES: u64 = 7 * DAY_MINUTES;
/// Milliseconds of a minute.
const MINUTE_MS: u64 = 60_000;
/// Day of the week of the Unix epoch, a Thursday; Monday is 0.
const EPOCH_WEEKDAY: u64 = 3;
/// Fewest finished stops against which failed ones are judged.
pub const MIN_STOPS_FOR_FAILURE_SHARE: u32 = 10;

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
    pub stale_dc_vms: &'a BTreeSet<VmName>,
    /// Time, in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// Returns VMs to stop now, most pressing first.
///
/// The caller writes a ledger row for each before it drains the VM, so a view
/// that has been overtaken costs a failed write and no promise.
#[must_use]
pub fn next_stops(view: &WaveView<'_>) -> Vec<VmName> {
    let wave = view.config.wave.as_ref().filter(|wave| wave.running);
    let Some(wave) = wave else {
        return Vec::new();
    };
    let plan = WavePlan::new(view.config, wave);
    let mut stops = pool_stops(view, wave, &plan);
    stops.sort_by(|a, b| b.rounds_left.total_cmp(&a.rounds_left));
    let mut shared = shared_turn(view, &plan);
    let mut racks = RackUse::of(view.fleet);
    let mut names = Vec::new();
    for pool in &stops {
        let limit = if pool.shares { shared } else { pool.free };
        let picks = pick_vms(pool, pool.free.min(limit), &mut racks);
        if pool.shares {
            shared -= picks.len();
        }
        names.extend(picks);
    }
    names
}

/// Tells whether so many stops have failed that the wave has to stop itself.
///
/// Stops are judged against [`MIN_STOPS_FOR_FAILURE_SHARE`] at least, so that the very
/// first failure of a large wave does not stop it.
#[must_use]
pub fn wave_should_stop(progress: &WaveProgress, rules: &MaintenanceRules) -> bool {
    let judged = (progress.returned + progress.failed).max(MIN_STOPS_FOR_FAILURE_SHARE);
    f64::from(progress.failed) > rules.failure_stop_share * f64::from(judged)
}

/// Tells whether planned stops may start at a time.
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

/// What may be stopped in one pool.
struct PoolStops<'a> {
    /// Stops that this data centre may start now.
    free: usize,
    /// Whether they count against the shared part of the reserve.
    shares: bool,
    /// VMs of this data centre that the wave has still to maintain.
    due: Vec<(&'a VmName, &'a VmRecord)>,
    /// Stops left for each VM that may be out, over all data centres.
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
    // A VM with a row is about to be drained.
    let rows = view.ledgers.get(name).map(|ledger| &ledger.rows);
    let serving = local.iter().filter(|(vm, record)| {
        record.state.takes_work() && rows.is_none_or(|rows| !rows.contains_key(*vm))
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
    let turn = own_turn(view, name.as_str(), free, local.len(), size);
    // A data centre that is cut off has only its own VMs to serve with.
    let spared = usize::from(local.len() > 1);
    let stops_left = due.len() as f64 * size as f64 / local.len() as f64;
    Some(PoolStops {
        free: turn.min(serving.count().saturating_sub(spared)),
        shares: pool.uses_shared,
        due,
        rounds_left: stops_left / pool.limit as f64,
    })
}

/// Counts the VMs of a pool that are out of service or must be taken as such.
fn out_of_service(
    view: &WaveView<'_>,
    name: &PoolName,
    pool: &PoolConfig,
    local: &[(&VmName, &VmRecord)],
) -> usize {
    let rows = view.ledgers.get(name).map(|ledger| &ledger.rows);
    let listed = |vm: &VmName| rows.is_some_and(|rows| rows.contains_key(vm));
    let stale = view.stale_dc_vms.iter();
    let stale = stale.filter(|vm| pool.vms.contains(*vm) && !listed(vm));
    let idle = local.iter();
    let idle = idle.filter(|(vm, record)| !record.state.takes_work() && !listed(vm));
    rows.map_or(0, BTreeMap::len) + stale.count() + idle.count()
}

fn planned_rows(view: &WaveView<'_>, pool: &PoolName) -> usize {
    let rows = view.ledgers.get(pool).into_iter();
    let rows = rows.flat_map(|ledger| ledger.rows.values());
    let planned = rows.filter(|row| matches!(row.cause, OutageCause::Planned(_)));
    planned.count()
}

/// Returns how many stops this data centre may start in the pools that share.
fn shared_turn(view: &WaveView<'_>, plan: &WavePlan<'_>) -> usize {
    let sharing = plan.pools.iter().filter(|(_, pool)| pool.uses_shared);
    let planned = sharing.clone().map(|(name, _)| planned_rows(view, name));
    let free = plan.shared.saturating_sub(planned.sum());
    let size = sharing.map(|(_, pool)| pool.config.vms.len()).sum();
    let shares = |pool| plan.pools.get(pool).is_some_and(|pool| pool.uses_shared);
    let local = view.fleet.vms.values().filter(|vm| shares(&vm.pool));
    own_turn(view, "", free, local.count(), size)
}

/// Returns the part of `free` that falls to this data centre in this round.
///
/// The fraction is rounded up or down at random, in proportion, so that every
/// data centre gets its turn however little is free. The random number is drawn
/// from the view, which keeps the decision a function of it.
fn own_turn(view: &WaveView<'_>, salt: &str, free: usize, own: usize, all: usize) -> usize {
    if own >= all {
        return free;
    }
    let share = free as f64 * own as f64 / all as f64;
    let first = view.fleet.vms.keys().next().map_or("", VmName::as_str);
    let seed = xxh3_64_with_seed(first.as_bytes(), view.now_ms);
    let draw = xxh3_64_with_seed(salt.as_bytes(), seed) as f64 / u64::MAX as f64;
    let extra = usize::from(draw < share.fract());
    share as usize + extra
}

/// VMs of each rack that are out of service, and whether any failed.
struct RackUse<'a>(BTreeMap<&'a RackName, (bool, usize)>);

impl<'a> RackUse<'a> {
    fn of(fleet: &'a FleetRecord) -> Self {
        let mut racks: BTreeMap<_, (bool, usize)> = BTreeMap::new();
        for vm in fleet.vms.values().filter(|vm| !vm.state.takes_work()) {
            let rack = racks.entry(&vm.rack).or_default();
            rack.0 |= vm.state == VmState::Failed;
            rack.1 += 1;
        }
        Self(racks)
    }

    fn of_vm(&self, vm: &VmRecord) -> (bool, usize) {
        self.0.get(&vm.rack).copied().unwrap_or_default()
    }

    fn take(&mut self, vm: &'a VmRecord) {
        self.0.entry(&vm.rack).or_default().1 += 1;
    }
}

/// Picks VMs from racks without failures first, then from those with the fewest
/// VMs out of service, then those maintained longest ago.
///
/// A rack whose VMs do not come back is thus known after few of them are lost.
fn pick_vms<'a>(pool: &PoolStops<'a>, count: usize, racks: &mut RackUse<'a>) -> Vec<VmName> {
    let mut due = pool.due.clone();
    due.sort_by_key(|(name, vm)| Reverse((vm.maintained_ms, *name)));
    let mut picks = Vec::new();
    while picks.len() < count {
        let best = (0..due.len()).rev().min_by_key(|i| racks.of_vm(due[*i].1));
        let Some(best) = best else {
            break;
        };
        let (name, vm) = due.remove(best);
        racks.take(vm);
        picks.push(name.clone());
    }
    picks
}
