//! Which VMs change pool: demand against supply, by queue turns.
//!
//! Queues take turns in asking several times their mean. A pool's demand is the work
//! that arrives and the work that waits; what it lacks is taken from the standby pool
//! first and from idle VMs of pools with a surplus next. Idle VMs beyond a reserve
//! go back to standby after a while.

use std::collections::BTreeMap;

use crate::jobs::engine::JobEngine;
use crate::jobs::fleet::MachineOrder;
use crate::jobs::place::remaining;
use crate::jobs::types::StepSpec;
use crate::ports::fleet::MachineRow;
use crate::ports::fleet::MachineState;

/// Time in which waiting work should be done, in milliseconds; objectives leave
/// about this much beside the work itself.
const DRAIN_MS: f64 = 1000.0;

/// Window over which arriving work is counted, in milliseconds.
const ARRIVAL_MS: u64 = 1000;

/// Share of a pool's room that is planned to be used; tasks do not fill workers
/// evenly.
const FILL_SHARE: f64 = 0.8;

/// Time a worker must have been idle before its VM is lent to a pool that lacks
/// room, in milliseconds.
const IDLE_LEND_MS: u64 = 100;

/// Least VMs that stay in a pool.
const LEAST_VMS: usize = 2;

/// Demand and supply of a pool, in VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolNeed {
    /// VMs that the work asks for.
    pub wanted: usize,
    /// VMs in the pool or on their way to it.
    pub present: usize,
}

/// Decides how many VMs each pool gains or gives, in VMs: pools and their changes.
///
/// What pools lack is met from `standby` and from the others' surplus; the pools
/// that lack most are served first.
#[must_use]
pub fn share_out(needs: &BTreeMap<String, PoolNeed>, standby: usize) -> BTreeMap<String, i64> {
    let mut changes: BTreeMap<String, i64> = BTreeMap::new();
    let spare = |need: &PoolNeed| need.present.saturating_sub(need.wanted.max(LEAST_VMS));
    let mut available = standby + needs.values().map(spare).sum::<usize>();
    let mut lacking: Vec<(usize, &String)> = Vec::new();
    for (pool, need) in needs {
        let lack = need.wanted.saturating_sub(need.present);
        if lack > 0 {
            lacking.push((lack, pool));
        }
    }
    lacking.sort_by(|one, other| other.cmp(one));
    for (lack, pool) in lacking {
        let gain = lack.min(available);
        available -= gain;
        changes.insert(pool.clone(), gain as i64);
    }
    changes
}

/// Workers that a step needs for its tasks to be apart, and one to move them to.
fn workers_apart(step: &StepSpec) -> usize {
    let most = step.per_worker.max(1);
    let apart = if step.per_worker == 0 {
        1
    } else {
        step.tasks.div_ceil(most)
    };
    apart as usize + 1
}

impl JobEngine {
    /// Counts work that has arrived for a pool.
    pub(crate) fn note_arrival(&mut self, pool: &str, work: u64, now: u64) {
        let arrivals = self.arrivals.entry(pool.to_owned()).or_default();
        arrivals.push_back((now, work));
    }

    /// Returns the work that arrives for a pool, in thousandths of a core.
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
        arrivals.iter().map(|(_, work)| *work as f64).sum::<f64>() / ARRIVAL_MS as f64
    }

    fn pool_needs(&mut self, now: u64) -> BTreeMap<String, PoolNeed> {
        let pools: Vec<String> = self
            .config
            .pools
            .iter()
            .filter(|pool| !pool.standby)
            .map(|pool| pool.name.clone())
            .collect();
        let mut needs = BTreeMap::new();
        for pool in pools {
            let rate = self.arrival_rate(&pool, now);
            let (mut room, mut lasting) = (0.0, 0.0);
            for view in self.workers.values().filter(|view| view.entry.pool == pool) {
                room = f64::max(room, view.entry.room.cpu as f64);
            }
            let (mut waiting, mut apart) = (0.0, 0);
            for job in self.jobs.values().filter(|job| !job.state.is_final()) {
                if self.pool_of(job) != pool {
                    continue;
                }
                if job.body.spec.lasts() {
                    let lasts = job.body.spec.steps.iter().filter(|step| step.lasting);
                    apart = lasts.map(workers_apart).fold(apart, usize::max);
                    let steps = job.body.spec.steps.iter().filter(|step| !step.fills);
                    lasting += steps
                        .map(|step| f64::from(step.tasks) * step.need.cpu as f64)
                        .sum::<f64>();
                } else {
                    waiting += remaining(job).0 as f64;
                }
            }
            let rows = self.fleet.rows.values().filter(|row| row.pool == pool);
            let present = rows.filter(|row| self.is_present(row, now)).count();
            let demand = (waiting / DRAIN_MS).max(rate) + lasting;
            let wanted = if room > 0.0 {
                (demand / room / FILL_SHARE).ceil() as usize
            } else {
                0
            };
            needs.insert(pool, PoolNeed { wanted, present });
        }
        needs
    }

    /// Tells whether a VM serves its pool or is about to.
    fn is_present(&self, row: &MachineRow, now: u64) -> bool {
        match row.state {
            MachineState::Moving => true,
            MachineState::Maintenance | MachineState::Down => false,
            MachineState::Up => {
                let ordered = self
                    .fleet
                    .orders
                    .get(&row.machine)
                    .is_some_and(|order| order.done_ms.is_none());
                // A worker without an entry yet has just started.
                let view = self.workers.get(&row.worker);
                !ordered && !row.worker.is_empty() && view.is_none_or(|view| view.takes_work(now))
            }
        }
    }

    /// Plans moves between pools.
    pub(crate) fn plan_moves(&mut self, now: u64) {
        let standby = self.config.pools.iter().find(|pool| pool.standby);
        let standby = standby.map_or(String::new(), |pool| pool.name.clone());
        let needs = self.pool_needs(now);
        let free: Vec<String> = self.free_machines(&standby);
        let changes = share_out(&needs, free.len());
        let mut free = free.into_iter();
        let mut moves: Vec<(String, String)> = Vec::new();
        for (pool, gain) in &changes {
            for _ in 0..*gain {
                let machine = free
                    .next()
                    .or_else(|| self.idle_machine(&needs, pool, &moves, now));
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

    /// Finds an idle VM of a pool with a surplus.
    fn idle_machine(
        &self,
        needs: &BTreeMap<String, PoolNeed>,
        pool: &str,
        moves: &[(String, String)],
        now: u64,
    ) -> Option<String> {
        let given = |from: &str| {
            let from = moves.iter().filter(|(machine, _)| {
                self.fleet
                    .rows
                    .get(machine)
                    .is_some_and(|row| row.pool == from)
            });
            from.count()
        };
        let mut best: Option<(usize, &MachineRow)> = None;
        for row in self.fleet.rows.values() {
            let Some(need) = needs.get(&row.pool).filter(|_| row.pool != pool) else {
                continue;
            };
            let left = need.present.saturating_sub(given(&row.pool));
            let surplus = left.saturating_sub(need.wanted.max(LEAST_VMS));
            let taken = moves.iter().any(|(machine, _)| *machine == row.machine);
            if surplus == 0 || taken || !self.is_movable(row) || !self.is_idle(row, now) {
                continue;
            }
            if best.is_none_or(|(most, _)| surplus > most) {
                best = Some((surplus, row));
            }
        }
        best.map(|(_, row)| row.machine.clone())
    }

    fn is_idle(&self, row: &MachineRow, now: u64) -> bool {
        let view = self.workers.get(&row.worker);
        view.is_some_and(|view| view.runs.is_empty() && now > view.busy_ms + IDLE_LEND_MS)
    }
}
