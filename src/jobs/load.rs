//! Load of the pools, summed up in one pass over jobs, workers and VMs.
//!
//! The sums are made anew every few ticks and serve admission and lending; what is
//! accepted in between is added.

use std::collections::BTreeMap;

use crate::jobs::engine::JobEngine;
use crate::jobs::place::remaining_work;
use crate::jobs::types::StepSpec;
use crate::ports::fleet::MachineRow;
use crate::ports::fleet::MachineState;

/// Time between two sums for each job in progress, in milliseconds: the share of
/// processor time that they take stays the same.
const SUM_MS_PER_JOB: f64 = 0.25;

/// Load of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Processor of the workers that take work, in thousandths of a core.
    pub capacity: f64,
    /// Of this, free.
    pub free: f64,
    /// Processor of the largest worker, in thousandths of a core.
    pub largest_worker: f64,
    /// Remaining work of accepted jobs, in milliseconds of a thousandth of a core.
    pub backlog: f64,
    /// Processor asked for by lasting tasks, in thousandths of a core.
    pub long_running: f64,
    /// Workers that lasting tasks need to be apart.
    pub min_workers: usize,
    /// VMs that serve the pool or are about to.
    pub present: usize,
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
    /// Returns the load of a pool.
    #[must_use]
    pub fn pool_load(&self, pool: &str) -> PoolLoad {
        self.loads.get(pool).copied().unwrap_or_default()
    }

    /// Sums the loads up, if that is due; true if it was.
    pub(crate) fn update_loads(&mut self, now: u64) -> bool {
        let period_ms = (self.jobs.len() as f64 * SUM_MS_PER_JOB) as u64;
        if now < self.loads_summed_ms + period_ms {
            return false;
        }
        self.loads_summed_ms = now;
        let mut loads: BTreeMap<String, PoolLoad> = BTreeMap::new();
        for pool in self.config.pools.iter().filter(|pool| !pool.standby) {
            loads.insert(pool.name.clone(), PoolLoad::default());
        }
        for view in self.workers.values() {
            let Some(load) = loads.get_mut(&view.entry.pool) else {
                continue;
            };
            load.largest_worker = load.largest_worker.max(view.entry.room.cpu as f64);
            if view.is_schedulable(now) {
                load.capacity += view.entry.room.cpu as f64;
                load.free += view.free().cpu as f64;
            }
        }
        for job in self.jobs.values().filter(|job| !job.state.is_final()) {
            let Some(load) = loads.get_mut(self.pool_of(job)) else {
                continue;
            };
            if !job.body.spec.has_long_running_step() {
                load.backlog += remaining_work(job).0 as f64;
                continue;
            }
            for step in &job.body.spec.steps {
                if step.lasting {
                    load.min_workers = load.min_workers.max(workers_apart(step));
                }
                load.long_running += f64::from(step.tasks) * step.reserved().cpu as f64;
            }
        }
        for row in self.fleet.rows.values() {
            if let Some(load) = loads.get_mut(&row.pool)
                && self.is_present(row, now)
            {
                load.present += 1;
            }
        }
        self.loads = loads;
        true
    }

    /// Tells whether a VM serves its pool or is about to.
    fn is_present(&self, row: &MachineRow, now: u64) -> bool {
        match row.state {
            MachineState::Moving => true,
            MachineState::Maintenance | MachineState::Down => false,
            MachineState::Up => {
                let order = self.fleet.orders.get(&row.machine);
                let ordered = order.is_some_and(|order| order.done_ms.is_none());
                // A worker without an entry yet has just started.
                let view = self.workers.get(&row.worker);
                let serves = view.is_none_or(|view| view.is_schedulable(now));
                !ordered && !row.worker.is_empty() && serves
            }
        }
    }
}
