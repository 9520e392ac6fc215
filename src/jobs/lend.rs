//! Moves of VMs between pools, decided from each pool's demand and supply.
//!
//! Load peaks alternate between queues: each in turn submits several times its mean.
//! A pool's demand is its arriving work, or the tasks that could run now if that is more.
//! Work of later steps does not count: no VM could run it yet. Missing VMs are taken from the
//! standby pool first, then from idle VMs of pools that have more than their target.

use std::collections::BTreeMap;

use crate::jobs::engine::JobEngine;
use crate::jobs::fleet::MachineOrder;
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
const MIN_POOL_VMS: usize = 2;

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

impl JobEngine {
    /// Adds accepted work, in millicore-milliseconds, to the arrivals of a pool.
    pub(crate) fn record_arrival(&mut self, pool: &str, work: u64, now: u64) {
        let arrivals = self.arrivals.entry(pool.to_owned()).or_default();
        arrivals.push_back((now, work));
    }

    /// Predicts a pool's arrival rate at the time when a VM moved now starts to serve, in
    /// millicores (millicore-milliseconds per millisecond).
    fn arrival_rate(&mut self, pool: &str, now: u64) -> f64 {
        let Some(arrivals) = self.arrivals.get_mut(pool) else {
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
            let wanted = if load.largest_worker > 0.0 {
                (cpu / load.largest_worker / TARGET_UTILIZATION).ceil()
            } else {
                0.0
            };
            let wanted = self.decay_demand(&pool, wanted as usize, now);
            let min = load.min_workers.max(MIN_POOL_VMS);
            let demand = PoolDemand {
                wanted: wanted.max(min),
                min,
                present: load.present,
            };
            log::debug!(
                event = "pool_demand", pool = pool.as_str(), rate = rate as u64, runnable = load.runnable as u64,
                long_running = load.long_running as u64, wanted = demand.wanted, present = demand.present; ""
            );
            demands.insert(pool, demand);
        }
        demands
    }

    /// Lets a pool's demand rise at once and decay slowly: work arrives in bursts, and a VM
    /// that leaves and returns is missing for the duration of two moves.
    fn decay_demand(&mut self, pool: &str, wanted: usize, now: u64) -> usize {
        let (before, at) = self.decayed_demand.get(pool).copied().unwrap_or((0.0, now));
        let decayed = before * (-(now.saturating_sub(at) as f64) / DEMAND_DECAY_MS).exp();
        let wanted = decayed.max(wanted as f64);
        self.decayed_demand.insert(pool.to_owned(), (wanted, now));
        wanted.ceil() as usize
    }

    /// Starts moves of VMs between pools.
    ///
    /// Does nothing while the store does not answer or executes no commits: the worker of a
    /// moved VM could not register its entry, and the VM would be idle until the store is
    /// back.
    pub(crate) fn plan_moves(&mut self, now: u64) {
        if self.store_unresponsive || self.store_down_since_ms.is_some() {
            return;
        }
        let standby = self.config.pools.iter().find(|pool| pool.standby);
        let standby = standby.map_or(String::new(), |pool| pool.name.clone());
        let demands = self.pool_demands(now);
        let mut free = self.standby_machines(&standby);
        let present: usize = demands.values().map(|demand| demand.present).sum();
        let targets = distribute_vms(&demands, present + free.len());
        let shortage = |pool: &String| targets[pool].saturating_sub(demands[pool].present);
        let mut shortages: Vec<(usize, String)> = demands
            .keys()
            .map(|pool| (shortage(pool), pool.clone()))
            .collect();
        shortages.sort_by(|one, other| other.cmp(one));
        let mut surpluses: BTreeMap<String, usize> = BTreeMap::new();
        for (pool, demand) in &demands {
            let target = targets.get(pool).copied().unwrap_or(0);
            surpluses.insert(pool.clone(), demand.present.saturating_sub(target));
        }
        let mut idle = self.idle_machines(&surpluses, now);
        let mut moves: Vec<(String, String)> = Vec::new();
        for (shortage, pool) in shortages {
            for _ in 0..shortage {
                let machine = free
                    .pop()
                    .or_else(|| take_surplus(&pool, &mut surpluses, &mut idle));
                let Some(machine) = machine else {
                    break;
                };
                moves.push((machine, pool.clone()));
            }
        }
        for (machine, pool) in moves {
            self.begin_order(&machine, MachineOrder::Move(pool), now);
        }
    }

    /// Returns the VMs of the standby pool that can be moved.
    fn standby_machines(&self, standby: &str) -> Vec<String> {
        let rows = self.fleet.rows.values().filter(|row| row.pool == standby);
        let rows = rows.filter(|row| self.is_movable(row));
        rows.map(|row| row.machine.clone()).collect()
    }

    fn is_movable(&self, row: &MachineRow) -> bool {
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
        let view = self.workers.get(&row.worker);
        view.is_some_and(|view| view.runs.is_empty() && now > view.last_busy_ms + MIN_IDLE_MS)
    }
}

/// Takes an idle VM of the pool with the largest surplus; `pool` itself is excluded.
fn take_surplus(
    pool: &str,
    surpluses: &mut BTreeMap<String, usize>,
    idle: &mut BTreeMap<String, Vec<String>>,
) -> Option<String> {
    let others = surpluses
        .iter_mut()
        .filter(|(from, surplus)| *from != pool && **surplus > 0);
    let able = others.filter(|(from, _)| idle.get(*from).is_some_and(|vms| !vms.is_empty()));
    let (from, surplus) = able.max_by_key(|(_, surplus)| **surplus)?;
    *surplus -= 1;
    idle.get_mut(from)?.pop()
}
