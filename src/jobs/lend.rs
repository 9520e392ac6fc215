//! Moves of VMs between pools, decided from each pool's demand and supply.
//!
//! Load peaks alternate between queues: each in turn submits several times its mean.
//! A pool's demand is its arriving work, or the tasks that could run now if that is more, and
//! the work that is expected in its next turn if its peaks have a clear period. Work of later
//! steps does not count: no VM could run it yet. Missing VMs are taken from the standby pool
//! first, then from idle VMs of pools that have more than their target; for an expected turn
//! only from pools that will not need them soon themselves.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use crate::jobs::engine::JobEngine;
use crate::jobs::fleet::MachineOrder;
use crate::jobs::load::PoolLoad;
use crate::jobs::moves::AvailableVms;
use crate::jobs::moves::choose_moves;
use crate::jobs::outlook::PoolOutlook;
use crate::jobs::rest::RestTracker;
use crate::jobs::turns::TurnTracker;
use crate::ports::fleet::MachineRow;
use crate::ports::fleet::MachineState;

/// Long and short window of the arrival rate, in milliseconds; the trend is the
/// difference of the two rates.
const ARRIVAL_WINDOW_MS: u64 = 1000;
const SHORT_ARRIVAL_WINDOW_MS: u64 = 400;

/// Weight of the trend in the predicted arrival rate: a move takes 1.5 s, while the trend
/// spans about a third of a second.
const TREND_FACTOR: f64 = 2.0;

/// Planned utilization of a pool's capacity; tasks do not fill workers evenly.
const TARGET_UTILIZATION: f64 = 0.8;

/// Time a worker must have been idle before its VM may move to another pool, in
/// milliseconds.
const MIN_IDLE_MS: u64 = 100;

/// Time constant of the decay of a pool's demand, in milliseconds (it falls to 1/e within
/// this time); about the duration of a move.
const DEMAND_DECAY_MS: f64 = 1500.0;

/// Minimum number of VMs that stay in a pool.
pub(crate) const MIN_POOL_VMS: usize = 2;

/// Demand and supply of a pool, in VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolDemand {
    /// VMs required by current and predicted work; at least `min`.
    pub wanted: usize,
    /// VMs that the pool keeps in any case, enough to place its long-running tasks within
    /// their limit per worker.
    pub min: usize,
    /// VMs that serve the pool or will do so soon.
    pub present: usize,
}

/// What moves are planned from, by pool.
#[derive(Clone, Debug, Default)]
pub struct LendingState {
    /// Recently accepted work: time and millicore-milliseconds.
    pub(crate) arrivals: HashMap<String, VecDeque<(u64, u64)>>,
    /// Decaying maximum of the demand in VMs, and the time of its last update.
    pub(crate) decayed_demand: HashMap<String, (f64, u64)>,
    /// Periodic peaks of the arrivals.
    pub(crate) turns: HashMap<String, TurnTracker>,
    /// Expected need.
    pub(crate) outlooks: BTreeMap<String, PoolOutlook>,
    /// Use of all pools over time.
    pub(crate) rest: RestTracker,
    /// Whether the pools want more VMs than there are.
    pub(crate) is_short: bool,
}

/// Returns how many of `total` VMs each pool should have.
///
/// If there are enough, each pool gets its `wanted` number. Otherwise each gets its
/// minimum, and the rest is distributed in proportion to the demand above the minimum, so
/// that the backlog of one queue's peak does not delay the peak of the next.
#[must_use]
pub fn distribute_vms(
    demands: &BTreeMap<String, PoolDemand>,
    total: usize,
) -> BTreeMap<String, usize> {
    let min: usize = demands.values().map(|demand| demand.min).sum();
    let extra = |demand: &PoolDemand| demand.wanted.saturating_sub(demand.min);
    let total_extra: usize = demands.values().map(extra).sum();
    let free = total.saturating_sub(min);
    let targets = demands.iter().map(|(pool, demand)| {
        let share = if total_extra <= free {
            extra(demand)
        } else {
            extra(demand) * free / total_extra
        };
        (pool.clone(), demand.min + share)
    });
    targets.collect()
}

/// Returns the number of VMs for work of `cpu` millicores in a pool.
pub(crate) fn vms_for(cpu: f64, load: &PoolLoad) -> usize {
    if load.largest_worker > 0.0 {
        (cpu / load.largest_worker / TARGET_UTILIZATION).ceil() as usize
    } else {
        0
    }
}

impl JobEngine {
    /// Adds accepted work, in millicore-milliseconds, to the arrivals of a pool.
    pub(crate) fn record_arrival(&mut self, pool: &str, work: u64, now: u64) {
        let arrivals = self.lending.arrivals.entry(pool.to_owned()).or_default();
        arrivals.push_back((now, work));
        let tracker = self.lending.turns.entry(pool.to_owned()).or_default();
        tracker.record(work, now);
    }

    /// Predicts a pool's arrival rate at the time when a VM moved now starts to serve, in
    /// millicores (millicore-milliseconds per millisecond).
    fn arrival_rate(&mut self, pool: &str, now: u64) -> f64 {
        let Some(arrivals) = self.lending.arrivals.get_mut(pool) else {
            return 0.0;
        };
        while arrivals
            .front()
            .is_some_and(|(at, _)| at + ARRIVAL_WINDOW_MS < now)
        {
            arrivals.pop_front();
        }
        let rate = |window_ms: u64| {
            let recent = arrivals.iter().filter(|(at, _)| at + window_ms >= now);
            recent.map(|(_, work)| *work as f64).sum::<f64>() / window_ms as f64
        };
        let (long, short) = (rate(ARRIVAL_WINDOW_MS), rate(SHORT_ARRIVAL_WINDOW_MS));
        long.max(short) + (short - long).max(0.0) * TREND_FACTOR
    }

    fn pool_demands(&mut self, now: u64) -> BTreeMap<String, PoolDemand> {
        let loads: Vec<_> = self
            .loads
            .iter()
            .map(|(pool, load)| (pool.clone(), *load))
            .collect();
        let mut demands = BTreeMap::new();
        for (pool, load) in loads {
            let rate = self.arrival_rate(&pool, now);
            let cpu = load.runnable.max(rate) + load.long_running;
            let undecayed = vms_for(cpu, &load);
            let current = self.decay_demand(&pool, undecayed, now);
            let outlook = self.pool_outlook(&pool, &load, undecayed, current, now);
            let wanted = current.max(outlook.forecast.unwrap_or(0));
            let min = load.min_workers.max(MIN_POOL_VMS);
            let demand = PoolDemand {
                wanted: wanted.max(min),
                min,
                present: load.present,
            };
            log::debug!(
                event = "pool_demand", pool = pool.as_str(), rate = rate as u64, runnable = load.runnable as u64,
                long_running = load.long_running as u64, wanted = demand.wanted, current = current, present = demand.present; ""
            );
            self.lending.outlooks.insert(pool.clone(), outlook);
            demands.insert(pool, demand);
        }
        demands
    }

    /// Lets a pool's demand rise at once and decay slowly: work arrives in bursts, and a VM
    /// that leaves and returns is missing for the duration of two moves.
    fn decay_demand(&mut self, pool: &str, wanted: usize, now: u64) -> usize {
        let (before, at) = self
            .lending
            .decayed_demand
            .get(pool)
            .copied()
            .unwrap_or((0.0, now));
        let decayed = before * (-(now.saturating_sub(at) as f64) / DEMAND_DECAY_MS).exp();
        let wanted = decayed.max(wanted as f64);
        self.lending
            .decayed_demand
            .insert(pool.to_owned(), (wanted, now));
        wanted.ceil() as usize
    }

    /// Starts moves of VMs between pools.
    ///
    /// Does nothing while the store does not answer or executes no commits: the worker of a
    /// moved VM could not register its entry, and the VM would be idle until the store is
    /// back.
    pub(crate) fn plan_moves(&mut self, now: u64) {
        self.lending.is_short = false;
        if self.store_unresponsive || self.store_down_since_ms.is_some() {
            return;
        }
        let standby = self.config.pools.iter().find(|pool| pool.standby);
        let standby = standby.map_or(String::new(), |pool| pool.name.clone());
        let demands = self.pool_demands(now);
        let mut free = self.standby_machines(&standby);
        let present: usize = demands.values().map(|demand| demand.present).sum();
        let wanted: usize = demands.values().map(|demand| demand.wanted).sum();
        self.lending.is_short = wanted > present + free.len();
        let max_present = self.update_rest(now).unwrap_or(usize::MAX);
        free.truncate(max_present.saturating_sub(present));
        let targets = distribute_vms(&demands, present + free.len());
        let mut surpluses: BTreeMap<String, usize> = BTreeMap::new();
        for (pool, demand) in &demands {
            let target = targets.get(pool).copied().unwrap_or(0);
            surpluses.insert(pool.clone(), demand.present.saturating_sub(target));
        }
        let idle = self.idle_machines(&surpluses, now);
        let available = AvailableVms {
            standby: free,
            standby_last: self.settings.rest_idle_vms,
            surpluses,
            serving: self.serving_machines(),
            idle,
        };
        let mut moves = choose_moves(&demands, &targets, &self.lending.outlooks, available);
        let unneeded = present.saturating_sub(max_present);
        if unneeded > 0 && !standby.is_empty() {
            let resting = self.choose_rest(unneeded, &moves, &standby, now);
            moves.extend(resting);
        }
        for planned in moves {
            log::info!(
                event = "vm_move_planned", vm = planned.machine.as_str(),
                pool = planned.pool.as_str(), reason = planned.reason.as_str(); ""
            );
            self.begin_order(&planned.machine, MachineOrder::Move(planned.pool), now);
        }
    }

    /// Returns the VMs of the standby pool that can be moved.
    fn standby_machines(&self, standby: &str) -> Vec<String> {
        let rows = self.fleet.rows.values().filter(|row| row.pool == standby);
        let rows = rows.filter(|row| self.is_movable(row));
        rows.map(|row| row.machine.clone()).collect()
    }

    /// Returns the number of VMs of each pool that serve and have no order.
    pub(crate) fn serving_machines(&self) -> BTreeMap<String, usize> {
        let mut serving: BTreeMap<String, usize> = BTreeMap::new();
        for row in self.fleet.rows.values() {
            if self.is_movable(row) && self.workers.contains_key(&row.worker) {
                *serving.entry(row.pool.clone()).or_default() += 1;
            }
        }
        serving
    }

    pub(crate) fn is_movable(&self, row: &MachineRow) -> bool {
        row.state == MachineState::Up && !self.fleet.orders.contains_key(&row.machine)
    }

    /// Returns the idle VMs of each pool with a surplus, by descending name.
    fn idle_machines(
        &self,
        surpluses: &BTreeMap<String, usize>,
        now: u64,
    ) -> BTreeMap<String, Vec<String>> {
        let mut idle: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for row in self.fleet.rows.values().rev() {
            let has_surplus = surpluses.get(&row.pool).is_some_and(|surplus| *surplus > 0);
            if has_surplus && self.is_movable(row) && self.is_idle(row, now) {
                let machines = idle.entry(row.pool.clone()).or_default();
                machines.push(row.machine.clone());
            }
        }
        idle
    }

    fn is_idle(&self, row: &MachineRow, now: u64) -> bool {
        self.is_idle_for(row, MIN_IDLE_MS, now)
    }

    /// Returns whether nothing runs on a VM and nothing was placed there for longer than
    /// `idle_ms`.
    pub(crate) fn is_idle_for(&self, row: &MachineRow, idle_ms: u64, now: u64) -> bool {
        let view = self.workers.get(&row.worker);
        view.is_some_and(|view| view.runs.is_empty() && now > view.last_busy_ms + idle_ms)
    }
}
