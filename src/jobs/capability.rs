//! What the workers of a pool could run if nothing else ran there.
//!
//! A task that none of them could ever run waits for other workers. Its work is no backlog of the
//! pool: it takes nothing from the jobs that the pool can run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::jobs::job::JobEntry;
use crate::jobs::types::ResourceVector;
use crate::jobs::types::StepSpec;
use crate::jobs::worker::WorkerView;

/// Capacities and labels of a set of workers.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerCapability<'a> {
    capacities: Vec<ResourceVector>,
    /// Largest amount of each resource at any worker.
    largest: ResourceVector,
    labels: BTreeSet<&'a str>,
}

impl<'a> WorkerCapability<'a> {
    /// Adds a worker.
    pub(crate) fn add(&mut self, view: &'a WorkerView) {
        let capacity = view.entry.capacity;
        self.capacities.push(capacity);
        self.largest = ResourceVector {
            cpu: self.largest.cpu.max(capacity.cpu),
            memory_mb: self.largest.memory_mb.max(capacity.memory_mb),
            gpu: self.largest.gpu.max(capacity.gpu),
        };
        let labels = view.entry.labels.iter().map(String::as_str);
        self.labels.extend(labels);
    }

    /// Returns whether the tasks of a step could run; always true without workers.
    pub(crate) fn allows_step(&self, spec: &StepSpec) -> bool {
        if self.capacities.is_empty() {
            return true;
        }
        let need = spec.reserved();
        let has_label = spec.label.is_empty() || self.labels.contains(spec.label.as_str());
        has_label && self.largest.covers(&need) && (!spec.gang || self.holds_gang(spec, &need))
    }

    /// Returns whether all open steps of a job could run.
    pub(crate) fn allows_job(&self, job: &JobEntry) -> bool {
        let specs = &job.body.spec.steps;
        let steps = job.open.values().flat_map(|steps| specs.iter().zip(steps));
        let mut open = steps.filter(|(_, step)| step.open_ms.is_some() && !step.is_done());
        open.all(|(spec, _)| self.allows_step(spec))
    }

    fn holds_gang(&self, spec: &StepSpec, need: &ResourceVector) -> bool {
        let tasks = self.capacities.iter().map(|capacity| {
            let tasks = tasks_at(capacity, need);
            match spec.per_worker {
                0 => tasks,
                limit => tasks.min(u64::from(limit)),
            }
        });
        tasks.fold(0, u64::saturating_add) >= u64::from(spec.tasks)
    }
}

/// Returns how many tasks with this need a worker holds.
pub(crate) fn tasks_at(capacity: &ResourceVector, need: &ResourceVector) -> u64 {
    let amounts = [
        (capacity.cpu, need.cpu),
        (capacity.memory_mb, need.memory_mb),
        (capacity.gpu, need.gpu),
    ];
    let limits = amounts
        .iter()
        .filter_map(|(capacity, need)| capacity.checked_div(*need));
    limits.min().unwrap_or(u64::MAX)
}

/// Capabilities by pool, and of all workers together.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetCapability<'a> {
    pub(crate) fleet: WorkerCapability<'a>,
    pools: BTreeMap<&'a str, WorkerCapability<'a>>,
}

impl<'a> FleetCapability<'a> {
    /// Sums up the workers.
    pub(crate) fn new(workers: impl Iterator<Item = &'a WorkerView>) -> Self {
        let mut capability = Self::default();
        for view in workers {
            capability.fleet.add(view);
            let pool = capability.pools.entry(&view.entry.pool).or_default();
            pool.add(view);
        }
        capability
    }

    /// Returns the capability of a pool's workers; none if it has none.
    pub(crate) fn pool(&self, pool: &str) -> Option<&WorkerCapability<'a>> {
        self.pools.get(pool)
    }
}
