//! Which VMs change pool: demand against supply, by queue turns.
//!
//! Queues take turns in asking several times their mean. A pool's demand is the work
//! that arrives and the work that waits; what it lacks is taken from the standby pool
//! first and from idle VMs of pools with a surplus next. Idle VMs beyond a reserve
//! go back to standby after a while.

use std::collections::BTreeMap;

use crate::jobs::engine::JobEngine;
use crate::jobs::fleet::MachineOrder;
use crate::ports::fleet::MachineRow;
use crate::ports::fleet::MachineState;

/// Time in which waiting work should be done, in milliseconds; objectives leave
/// about this much beside the work itself.
const DRAIN_MS: f64 = 700.0;

/// Windows over which arriving work is counted, in milliseconds: their difference
/// is the trend.
const ARRIVAL_MS: u64 = 1000;
const ARRIVAL_SHORT_MS: u64 = 400;

/// How many times the trend is added to the arriving work: a move takes one and a
/// half seconds, the trend spans about a third of a second.
const TREND_FACTOR: f64 = 2.0;

/// Share of a pool's room that is planned to be used; tasks do not fill workers
/// evenly.
const FILL_SHARE: f64 = 0.8;

/// Time a worker must have been idle before its VM is lent to a pool that lacks
/// room, in milliseconds.
const IDLE_LEND_MS: u64 = 100;

/// Time in which what a pool wants falls to a third, in milliseconds; about a move.
const FADE_MS: f64 = 1500.0;

/// Least VMs that stay in a pool.
const MIN_POOL_VMS: usize = 2;

/// Demand and supply of a pool, in VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolDemand {
    /// VMs that the work asks for.
    pub wanted: usize,
    /// VMs without which lasting tasks have no place.
    pub min: usize,
    /// VMs in the pool or on their way to it.
    pub present: usize,
}

/// Decides how many of `total` VMs each pool should have.
///
/// Where there are enough, each gets what it wants. Where there are not, each gets
/// its least, and the rest is shared in proportion to what is wanted beyond that: a
/// queue whose turn comes is not kept waiting by the backlog of the one before.
#[must_use]
pub fn distribute_vms(
    needs: &BTreeMap<String, PoolDemand>,
    total: usize,
) -> BTreeMap<String, usize> {
    let least: usize = needs.values().map(|need| need.min).sum();
    let beyond = |need: &PoolDemand| need.wanted.saturating_sub(need.min);
    let asked: usize = needs.values().map(beyond).sum();
    let free = total.saturating_sub(least);
    let shares = needs.iter().map(|(pool, need)| {
        let share = if asked <= free {
            beyond(need)
        } else {
            beyond(need) * free / asked
        };
        (pool.clone(), need.min + share)
    });
    shares.collect()
}

impl JobEngine {
    /// Counts work that has arrived for a pool.
    pub(crate) fn record_arrival(&mut self, pool: &str, work: u64, now: u64) {
        let arrivals = self.arrivals.entry(pool.to_owned()).or_default();
        arrivals.push_back((now, work));
    }

    /// Returns the work that will arrive for a pool when a VM that is moved now takes
    /// work, in thousandths of a core.
    fn arrival_rate(&mut self, pool: &str, now: u64) -> f64 {
        let Some(arrivals) = self.arrivals.get_mut(pool) else {
            return 0.0;
        };
        while arrivals
            .front()
            .is_some_and(|(at, _)| at + ARRIVAL_MS < now)
        {
            arrivals.pop_front();
        }
        let since = |window_ms: u64| {
            let recent = arrivals.iter().filter(|(at, _)| at + window_ms >= now);
            recent.map(|(_, work)| *work as f64).sum::<f64>() / window_ms as f64
        };
        let (long, short) = (since(ARRIVAL_MS), since(ARRIVAL_SHORT_MS));
        long.max(short) + (short - long).max(0.0) * TREND_FACTOR
    }

    fn pool_needs(&mut self, now: u64) -> BTreeMap<String, PoolDemand> {
        let loads: Vec<_> = self
            .loads
            .iter()
            .map(|(pool, load)| (pool.clone(), *load))
            .collect();
        let mut needs = BTreeMap::new();
        for (pool, load) in loads {
            let rate = self.arrival_rate(&pool, now);
            let demand = (load.backlog / DRAIN_MS).max(rate) + load.long_running;
            let wanted = if load.largest_worker > 0.0 {
                (demand / load.largest_worker / FILL_SHARE).ceil()
            } else {
                0.0
            };
            let wanted = self.fade_wanted(&pool, wanted as usize, now);
            let min = load.min_workers.max(MIN_POOL_VMS);
            let need = PoolDemand {
                wanted: wanted.max(min),
                min,
                present: load.present,
            };
            log::debug!(
                event = "pool_need", pool = pool.as_str(), rate = rate as u64, backlog = load.backlog as u64,
                lasting = load.long_running as u64, wanted = need.wanted, present = need.present; ""
            );
            needs.insert(pool, need);
        }
        needs
    }

    /// Lets what a pool wants rise at once and fall slowly: work comes in bursts, and
    /// a VM that goes and comes back is missing for two moves.
    fn fade_wanted(&mut self, pool: &str, wanted: usize, now: u64) -> usize {
        let (before, at) = self.decayed_demand.get(pool).copied().unwrap_or((0.0, now));
        let faded = before * (-(now.saturating_sub(at) as f64) / FADE_MS).exp();
        let wanted = faded.max(wanted as f64);
        self.decayed_demand.insert(pool.to_owned(), (wanted, now));
        wanted.ceil() as usize
    }

    /// Plans moves between pools.
    ///
    /// None while the store does not answer: the worker of a moved VM could not enter
    /// itself there, and its VM would be idle until the store is back.
    pub(crate) fn plan_moves(&mut self, now: u64) {
        if self.store_slow || self.store_down_since_ms.is_some() {
            return;
        }
        let standby = self.config.pools.iter().find(|pool| pool.standby);
        let standby = standby.map_or(String::new(), |pool| pool.name.clone());
        let needs = self.pool_needs(now);
        let mut free = self.free_machines(&standby);
        let present: usize = needs.values().map(|need| need.present).sum();
        let targets = distribute_vms(&needs, present + free.len());
        let lack = |pool: &String| targets[pool].saturating_sub(needs[pool].present);
        let mut lacking: Vec<(usize, String)> = needs
            .keys()
            .map(|pool| (lack(pool), pool.clone()))
            .collect();
        lacking.sort_by(|one, other| other.cmp(one));
        let mut moves: Vec<(String, String)> = Vec::new();
        for (lack, pool) in lacking {
            for _ in 0..lack {
                let surplus = |from: &str, moves: &[(String, String)]| {
                    let given = moves.iter().filter(|(machine, _)| {
                        self.fleet
                            .rows
                            .get(machine)
                            .is_some_and(|row| row.pool == from)
                    });
                    let left = needs
                        .get(from)
                        .map_or(0, |need| need.present.saturating_sub(given.count()));
                    left.saturating_sub(targets.get(from).copied().unwrap_or(0))
                };
                let machine = free
                    .pop()
                    .or_else(|| self.machine_to_give(&pool, &moves, surplus, now));
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

    /// Returns the VMs in standby that can be moved.
    fn free_machines(&self, standby: &str) -> Vec<String> {
        let rows = self.fleet.rows.values().filter(|row| row.pool == standby);
        let rows = rows.filter(|row| self.is_movable(row));
        rows.map(|row| row.machine.clone()).collect()
    }

    fn is_movable(&self, row: &MachineRow) -> bool {
        row.state == MachineState::Up && !self.fleet.orders.contains_key(&row.machine)
    }

    /// Finds an idle VM in the pool that has most beyond its share.
    fn machine_to_give(
        &self,
        pool: &str,
        moves: &[(String, String)],
        surplus: impl Fn(&str, &[(String, String)]) -> usize,
        now: u64,
    ) -> Option<String> {
        let mut best: Option<(usize, &MachineRow)> = None;
        for row in self.fleet.rows.values() {
            let taken = moves.iter().any(|(machine, _)| *machine == row.machine);
            if row.pool == pool || taken || !self.is_movable(row) {
                continue;
            }
            let surplus = surplus(&row.pool, moves);
            if surplus > 0 && self.is_idle(row, now) && best.is_none_or(|(most, _)| surplus > most)
            {
                best = Some((surplus, row));
            }
        }
        best.map(|(_, row)| row.machine.clone())
    }

    fn is_idle(&self, row: &MachineRow, now: u64) -> bool {
        let view = self.workers.get(&row.worker);
        view.is_some_and(|view| view.runs.is_empty() && now > view.last_busy_ms + IDLE_LEND_MS)
    }
}
