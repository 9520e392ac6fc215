//! Load of each pool, summed up over its jobs, workers and VMs.
//!
//! Admission and moves of VMs between pools use these sums. They are recomputed every
//! few ticks; jobs accepted in between are added to the backlog.

use std::cell::LazyCell;
use std::collections::BTreeMap;

use crate::jobs::capability::FleetCapability;
use crate::jobs::engine::JobEngine;
use crate::jobs::fleet::MachineOrder;
use crate::jobs::job::JobEntry;
use crate::jobs::lanes::lower_bound;
use crate::jobs::price_input::PriceInput;
use crate::jobs::types::ResourceVector;
use crate::jobs::types::StepSpec;
use crate::metrics::ROOM_PRICE;
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
    /// CPU of the largest worker that has answered, in millicores.
    pub largest_worker: f64,
    /// What each schedulable worker has at least; none without one.
    pub least_worker: Option<ResourceVector>,
    /// Remaining work of accepted jobs, in millicore-milliseconds.
    pub backlog: f64,
    /// CPU of the tasks that run or could run now if the pool had enough workers, in
    /// millicores; long-running tasks do not count.
    pub runnable: f64,
    /// CPU requested by long-running tasks, in millicores.
    pub long_running: f64,
    /// The part of it that no worker of the pool could take, in millicores.
    pub stranded: f64,
    /// Largest number of workers that a long-running step needs for its limit per worker,
    /// including one to move tasks to.
    pub min_workers: usize,
    /// VMs that serve the pool or will do so soon.
    pub present: usize,
    /// CPU of the VMs that are being moved to the pool, in millicores.
    pub arriving: f64,
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
        (tasks as u64).saturating_mul(spec.reserved().cpu)
    });
    cpu.fold(0, u64::saturating_add)
}

/// Returns whether each worker of a pool could run a job's tasks, if `least` is what each has.
fn is_plain(job: &JobEntry, least: &ResourceVector) -> bool {
    let mut steps = job.body.spec.steps.iter();
    steps.all(|spec| !spec.gang && spec.label.is_empty() && least.covers(&spec.reserved()))
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
        if now < self.admission.loads_updated_ms + period_ms {
            return false;
        }
        self.admission.loads_updated_ms = now;
        let mut loads: BTreeMap<String, PoolLoad> = BTreeMap::new();
        for pool in self.config.pools.iter().filter(|pool| !pool.standby) {
            loads.insert(pool.name.clone(), PoolLoad::default());
        }
        self.add_workers(&mut loads, now);
        let mut inputs: BTreeMap<String, PriceInput> = BTreeMap::new();
        let capability = LazyCell::new(|| FleetCapability::new(self.workers.values()));
        for job in self.jobs.values().filter(|job| !job.state.is_final()) {
            let pool = self.pool_of(job);
            let Some(load) = loads.get_mut(pool) else {
                continue;
            };
            // Most jobs need not be compared with each worker.
            let is_special = !load.least_worker.is_some_and(|least| is_plain(job, &least));
            if is_special && !capability.fleet.allows_job(job) {
                continue;
            }
            let own = is_special.then(|| capability.pool(pool)).flatten();
            if !job.body.spec.has_long_running_step() {
                if own.is_some_and(|own| !own.allows_job(job)) {
                    // Other VMs may be moved to the pool; it is no work for those that it has.
                    load.runnable += runnable_cpu(job) as f64;
                    continue;
                }
                if !inputs.contains_key(pool) {
                    inputs.insert(pool.to_owned(), PriceInput::default());
                }
                if let Some(input) = inputs.get_mut(pool) {
                    load.backlog += self.add_price_row(input, job, now);
                }
                load.runnable += runnable_cpu(job) as f64;
                continue;
            }
            for step in &job.body.spec.steps {
                if step.lasting {
                    load.min_workers = load.min_workers.max(spread_workers(step));
                }
                let cpu = f64::from(step.tasks) * step.reserved().cpu as f64;
                load.long_running += cpu;
                if own.is_some_and(|own| !own.allows_step(step)) {
                    load.stranded += cpu;
                }
            }
        }
        for row in self.fleet.rows.values() {
            if let Some(load) = loads.get_mut(&row.pool)
                && self.serves_pool(row, now)
            {
                load.present += 1;
            }
        }
        self.add_arriving(&mut loads);
        self.update_tables(&loads, inputs, now);
        self.loads = loads;
        true
    }

    /// Adds the CPU of the workers of each pool. An entry whose worker has never answered may be
    /// from another writer; it only counts in a pool of which no worker has answered yet.
    fn add_workers(&self, loads: &mut BTreeMap<String, PoolLoad>, now: u64) {
        let mut largest_unconfirmed: BTreeMap<&str, f64> = BTreeMap::new();
        for view in self.workers.values() {
            let Some(load) = loads.get_mut(&view.entry.pool) else {
                continue;
            };
            let cpu = view.entry.capacity.cpu as f64;
            let largest = if view.contact_ms.is_some() {
                &mut load.largest_worker
            } else {
                largest_unconfirmed.entry(&view.entry.pool).or_default()
            };
            *largest = largest.max(cpu);
            if view.is_schedulable(now) {
                load.least_worker = Some(lower_bound(load.least_worker, view.entry.capacity));
                load.capacity += cpu;
                load.free += view.free().cpu as f64;
            }
        }
        for (pool, largest) in largest_unconfirmed {
            if let Some(load) = loads
                .get_mut(pool)
                .filter(|load| load.largest_worker == 0.0)
            {
                load.largest_worker = largest;
            }
        }
    }

    /// Adds the CPU of the VMs that are being moved to each pool; that of a VM is taken to
    /// be that of the pool's largest worker.
    fn add_arriving(&self, loads: &mut BTreeMap<String, PoolLoad>) {
        for row in self.fleet.rows.values() {
            let order = self.fleet.orders.get(&row.machine);
            let pool = match order.map(|order| &order.order) {
                Some(MachineOrder::Move(pool)) => pool,
                _ if row.state == MachineState::Moving => &row.pool,
                _ => continue,
            };
            if let Some(load) = loads.get_mut(pool) {
                load.arriving += load.largest_worker;
            }
        }
    }

    /// Rebuilds the tables of waiting work, of which each pool has one.
    fn update_tables(
        &mut self,
        loads: &BTreeMap<String, PoolLoad>,
        mut inputs: BTreeMap<String, PriceInput>,
        now: u64,
    ) {
        self.admission.tables.clear();
        for (pool, load) in loads {
            let input = inputs.remove(pool).unwrap_or_default();
            for id in &input.late {
                self.settle_size_count(id, now);
            }
            let table = input.table(load, self.settings.move_ms, now);
            metrics::gauge!(ROOM_PRICE, "pool" => pool.clone()).set(table.price(now));
            self.admission.tables.insert(pool.clone(), table);
        }
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
