//! Load of each pool, summed up over its jobs, workers and VMs.
//!
//! Admission and moves of VMs between pools use these sums. They are recomputed every
//! few ticks; jobs accepted in between are added to the backlog.

use std::collections::BTreeMap;

use crate::jobs::engine::JobEngine;
use crate::jobs::job::JobEntry;
use crate::jobs::place::remaining_work;
use crate::jobs::types::StepSpec;
use crate::ports::fleet::MachineRow;
use crate::ports::fleet::MachineState;

/// Minimum time between two updates, in milliseconds for each job in progress. So updates
/// use a constant share of CPU time as the number of jobs grows.
const UPDATE_MS_PER_JOB: f64 = 0.25;

/// Load of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// CPU of the schedulable workers, in millicores.
    pub capacity: f64,
    /// Unreserved CPU of the schedulable workers, in millicores.
    pub free: f64,
    /// CPU of the largest worker, in millicores.
    pub largest_worker: f64,
    /// Remaining work of accepted jobs, in millicore-milliseconds.
    pub backlog: f64,
    /// CPU of the tasks that run or could run now if the pool had enough workers, in
    /// millicores; long-running tasks do not count.
    pub runnable: f64,
    /// CPU requested by long-running tasks, in millicores.
    pub long_running: f64,
    /// Largest number of workers that a long-running step needs for its limit per worker,
    /// including one to move tasks to.
    pub min_workers: usize,
    /// VMs that serve the pool or will do so soon.
    pub present: usize,
}

/// Returns the number of workers that a step needs to keep its limit per worker, and one
/// more to move tasks to.
fn spread_workers(step: &StepSpec) -> usize {
    let limit = step.per_worker.max(1);
    let workers = if step.per_worker == 0 {
        1
    } else {
        step.tasks.div_ceil(limit)
    };
    workers as usize + 1
}

/// Returns the CPU of a job's tasks that run or could run now, in millicores. Tasks of
/// steps that wait for other steps do not count.
fn runnable_cpu(job: &JobEntry) -> u64 {
    let specs = &job.body.spec.steps;
    let steps = job.open.values().flat_map(|steps| specs.iter().zip(steps));
    let open = steps.filter(|(_, step)| step.open_ms.is_some());
    let cpu = open.map(|(spec, step)| {
        let tasks = step.tasks.iter().filter(|task| !task.done).count();
        tasks as u64 * spec.reserved().cpu
    });
    cpu.sum()
}

impl JobEngine {
    /// Returns the load of a pool; all zero if the pool is unknown or in standby.
    #[must_use]
    pub fn pool_load(&self, pool: &str) -> PoolLoad {
        self.loads.get(pool).copied().unwrap_or_default()
    }

    /// Recomputes the loads if an update is due; returns whether it was.
    pub(crate) fn update_loads(&mut self, now: u64) -> bool {
        let period_ms = (self.jobs.len() as f64 * UPDATE_MS_PER_JOB) as u64;
        if now < self.loads_updated_ms + period_ms {
            return false;
        }
        self.loads_updated_ms = now;
        let mut loads: BTreeMap<String, PoolLoad> = BTreeMap::new();
        for pool in self.config.pools.iter().filter(|pool| !pool.standby) {
            loads.insert(pool.name.clone(), PoolLoad::default());
        }
        for view in self.workers.values() {
            let Some(load) = loads.get_mut(&view.entry.pool) else {
                continue;
            };
            load.largest_worker = load.largest_worker.max(view.entry.capacity.cpu as f64);
            if view.is_schedulable(now) {
                load.capacity += view.entry.capacity.cpu as f64;
                load.free += view.free().cpu as f64;
            }
        }
        for job in self.jobs.values().filter(|job| !job.state.is_final()) {
            let Some(load) = loads.get_mut(self.pool_of(job)) else {
                continue;
            };
            if !job.body.spec.has_long_running_step() {
                load.backlog += remaining_work(job).0 as f64;
                load.runnable += runnable_cpu(job) as f64;
                continue;
            }
            for step in &job.body.spec.steps {
                if step.lasting {
                    load.min_workers = load.min_workers.max(spread_workers(step));
                }
                load.long_running += f64::from(step.tasks) * step.reserved().cpu as f64;
            }
        }
        for row in self.fleet.rows.values() {
            if let Some(load) = loads.get_mut(&row.pool)
                && self.serves_pool(row, now)
            {
                load.present += 1;
            }
        }
        self.loads = loads;
        true
    }

    /// Returns whether a VM serves its pool or will do so soon.
    fn serves_pool(&self, row: &MachineRow, now: u64) -> bool {
        match row.state {
            MachineState::Moving => true,
            MachineState::Maintenance | MachineState::Down => false,
            MachineState::Up => {
                let order = self.fleet.orders.get(&row.machine);
                let ordered = order.is_some_and(|order| order.done_ms.is_none());
                // A worker without an entry has just started and is not registered yet.
                let view = self.workers.get(&row.worker);
                let serves = view.is_none_or(|view| view.is_schedulable(now));
                !ordered && !row.worker.is_empty() && serves
            }
        }
    }
}
