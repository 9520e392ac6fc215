//! Placement of jobs' tasks on workers.
//!
//! A task goes to a worker of its job's pool that has room for it, in the rack
//! with the fewest tasks of the job. Declared needs are often wrong: a worker's
//! room is what its capacity leaves beside the larger of the declared and the
//! reported use, so a job that uses more than it says stops filling the worker.
//! What can never run is refused at once with the reason.

mod types;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::config::ResourceAmount;
use crate::decide::resources::FitScore;
use crate::decide::resources::best_fit;
use crate::decide::resources::component_max;
use crate::decide::resources::covers;
use crate::decide::resources::saturating_add;
use crate::decide::resources::saturating_sub;
use crate::names::PoolName;
use crate::names::RackName;
use crate::names::TeamName;
use crate::names::VmName;

pub use types::JobId;
pub use types::PlacementOutcome;
pub use types::RefusalReason;
pub use types::ReliefAction;
pub use types::TaskId;
pub use types::TaskRequest;
pub use types::WaitReason;
pub use types::WorkerEntry;

/// Different jobs that fail in a row on a worker before it is set aside.
pub const WORKER_FAILURE_LIMIT: usize = 3;
/// Different workers on which a job fails in a row before it is refused.
pub const JOB_FAILURE_LIMIT: usize = 3;
/// Share of a worker's capacity from which it is under pressure, in percent.
const PRESSURE_PERCENT: u64 = 95;

#[derive(Debug)]
struct PlacedTask {
    vm: VmName,
    request: TaskRequest,
}

#[derive(Debug)]
struct WorkerState {
    entry: WorkerEntry,
    declared: ResourceAmount,
    reported: ResourceAmount,
    /// Declared need of tasks that the last report does not cover.
    unreported: ResourceAmount,
    /// When a task was last placed or taken off.
    changed: Duration,
    tasks: BTreeSet<TaskId>,
    /// Different jobs that failed here since one ended well.
    failed_jobs: BTreeSet<JobId>,
}

/// Workers, their tasks and the teams' use.
#[derive(Debug)]
pub struct PlacementState {
    workers: BTreeMap<VmName, WorkerState>,
    pools: BTreeMap<PoolName, BTreeSet<VmName>>,
    tasks: BTreeMap<TaskId, PlacedTask>,
    quotas: BTreeMap<TeamName, ResourceAmount>,
    used: BTreeMap<TeamName, ResourceAmount>,
    /// Workers on which a job failed since it last ended well.
    failed_on: BTreeMap<JobId, BTreeSet<VmName>>,
    order: FitScore,
}

impl Default for PlacementState {
    fn default() -> Self {
        Self::new(best_fit)
    }
}

impl PlacementState {
    /// Makes an empty state with an order among workers that have room.
    #[must_use]
    pub fn new(order: FitScore) -> Self {
        Self {
            workers: BTreeMap::new(),
            pools: BTreeMap::new(),
            tasks: BTreeMap::new(),
            quotas: BTreeMap::new(),
            used: BTreeMap::new(),
            failed_on: BTreeMap::new(),
            order,
        }
    }

    /// Replaces the teams' quotas; a team without one has no limit.
    pub fn set_quotas(&mut self, quotas: BTreeMap<TeamName, ResourceAmount>) {
        self.quotas = quotas;
    }

    /// Enters a worker or changes it; its tasks stay.
    pub fn set_worker(&mut self, vm: &VmName, entry: WorkerEntry) {
        if let Some(worker) = self.workers.get_mut(vm) {
            if let Some(pool) = self.pools.get_mut(&worker.entry.pool) {
                pool.remove(vm);
            }
            worker.entry = entry.clone();
        } else {
            let worker = WorkerState {
                entry: entry.clone(),
                declared: ResourceAmount::default(),
                reported: ResourceAmount::default(),
                unreported: ResourceAmount::default(),
                changed: Duration::ZERO,
                tasks: BTreeSet::new(),
                failed_jobs: BTreeSet::new(),
            };
            self.workers.insert(vm.clone(), worker);
        }
        let pool = self.pools.entry(entry.pool).or_default();
        pool.insert(vm.clone());
    }

    /// Places a task, lets it wait or refuses it.
    pub fn place(&mut self, now: Duration, request: &TaskRequest) -> PlacementOutcome {
        if let Some(reason) = self.refusal(request) {
            return PlacementOutcome::Refused(reason);
        }
        if !self.within_quota(request) {
            return PlacementOutcome::Waiting(WaitReason::QuotaExhausted);
        }
        let found = self.roomy_worker(request).map(|vm| (vm, Vec::new()));
        let found = found.or_else(|| self.yielding_worker(request).filter(|_| request.urgent));
        let Some((vm, evicted)) = found else {
            return PlacementOutcome::Waiting(WaitReason::NoCapacity);
        };
        for task in &evicted {
            self.finish(now, task, None);
        }
        self.enter(now, &vm, request);
        PlacementOutcome::Placed { vm, evicted }
    }

    /// Takes a task off its worker; `success` is absent if it was stopped.
    pub fn finish(&mut self, now: Duration, id: &TaskId, success: Option<bool>) {
        let Some(task) = self.tasks.remove(id) else {
            return;
        };
        let need = task.request.need;
        if let Some(used) = task.request.team.and_then(|team| self.used.get_mut(&team)) {
            *used = saturating_sub(*used, need);
        }
        if let Some(worker) = self.workers.get_mut(&task.vm) {
            worker.declared = saturating_sub(worker.declared, need);
            worker.reported = saturating_sub(worker.reported, need);
            worker.changed = worker.changed.max(now);
            worker.tasks.remove(id);
            match success {
                Some(true) => worker.failed_jobs.clear(),
                Some(false) => {
                    worker.failed_jobs.insert(id.job.clone());
                }
                None => {}
            }
        }
        match success {
            Some(true) => {
                self.failed_on.remove(&id.job);
            }
            Some(false) => {
                let workers = self.failed_on.entry(id.job.clone()).or_default();
                workers.insert(task.vm);
            }
            None => {}
        }
    }

    /// Takes a worker's use as measured at a time and returns what relieves it.
    ///
    /// Too little processor time slows tasks down; too little memory stops them.
    /// Urgent tasks are spared. A report from before the last change of the
    /// worker's tasks is left out, as it would be answered twice.
    pub fn record_usage(
        &mut self,
        measured: Duration,
        vm: &VmName,
        usage: ResourceAmount,
    ) -> Vec<ReliefAction> {
        let worker = self.workers.get_mut(vm);
        let Some(worker) = worker.filter(|worker| worker.changed < measured) else {
            return Vec::new();
        };
        worker.reported = usage;
        worker.unreported = ResourceAmount::default();
        let limit = |amount: u64| amount * PRESSURE_PERCENT / 100;
        let capacity = worker.entry.capacity;
        let mut memory_mb = usage.memory_mb.saturating_sub(limit(capacity.memory_mb));
        let busy = usage.cpu_millis > limit(capacity.cpu_millis);
        let mut actions = Vec::new();
        for id in worker.tasks.iter().rev() {
            let Some(task) = self.tasks.get(id).filter(|task| !task.request.urgent) else {
                continue;
            };
            if memory_mb > 0 {
                memory_mb = memory_mb.saturating_sub(task.request.need.memory_mb.max(1));
                actions.push(ReliefAction::Stop(id.clone()));
            } else if busy {
                actions.push(ReliefAction::Throttle(id.clone()));
            }
        }
        actions
    }

    /// Returns workers that failed everything that they ran of late.
    pub fn quarantined(&self) -> impl Iterator<Item = &VmName> {
        let workers = self.workers.iter();
        let aside = workers.filter(|(_, worker)| worker.is_quarantined());
        aside.map(|(vm, _)| vm)
    }

    fn refusal(&self, request: &TaskRequest) -> Option<RefusalReason> {
        if self.tasks.contains_key(&request.id) {
            return Some(RefusalReason::Duplicate);
        }
        let failed_on = self.failed_on.get(&request.id.job);
        if failed_on.is_some_and(|workers| workers.len() >= JOB_FAILURE_LIMIT) {
            return Some(RefusalReason::RepeatedFailures);
        }
        let quota = request.team.as_ref().and_then(|team| self.quotas.get(team));
        if quota.is_some_and(|quota| !covers(*quota, request.need)) {
            return Some(RefusalReason::LargerThanQuota);
        }
        let workers = self.pools.get(&request.id.job.pool);
        let workers = workers.filter(|workers| !workers.is_empty());
        let Some(workers) = workers else {
            return Some(RefusalReason::NoWorkers);
        };
        let mut workers = workers.iter().map(|vm| &self.workers[vm]);
        let fits = workers.any(|worker| covers(worker.entry.capacity, request.need));
        (!fits).then_some(RefusalReason::LargerThanWorkers)
    }

    fn within_quota(&self, request: &TaskRequest) -> bool {
        let Some(team) = &request.team else {
            return true;
        };
        let used = self.used.get(team).copied().unwrap_or_default();
        let quota = self.quotas.get(team);
        quota.is_none_or(|quota| covers(*quota, saturating_add(used, request.need)))
    }

    fn candidates(&self, pool: &PoolName) -> impl Iterator<Item = (&VmName, &WorkerState)> {
        let workers = self.pools.get(pool).into_iter().flatten();
        let workers = workers.map(|vm| (vm, &self.workers[vm]));
        workers.filter(|(_, worker)| worker.entry.schedulable && !worker.is_quarantined())
    }

    fn roomy_worker(&self, request: &TaskRequest) -> Option<VmName> {
        let in_rack = self.tasks_by_rack(&request.id.job);
        let failed_on = self.failed_on.get(&request.id.job);
        let workers = self.candidates(&request.id.job.pool);
        let roomy = workers.filter(|(_, worker)| covers(worker.free(), request.need));
        let best = roomy.min_by_key(|(vm, worker)| {
            let failed = failed_on.is_some_and(|workers| workers.contains(*vm));
            let in_rack = in_rack.get(&worker.entry.rack).copied().unwrap_or(0);
            let fit = (self.order)(worker.free(), worker.entry.capacity);
            (failed, in_rack, fit)
        });
        best.map(|(vm, _)| vm.clone())
    }

    /// Finds the worker on which the fewest tasks have to give way.
    fn yielding_worker(&self, request: &TaskRequest) -> Option<(VmName, Vec<TaskId>)> {
        let workers = self.candidates(&request.id.job.pool);
        let choices = workers.filter_map(|(vm, worker)| {
            let mut free = saturating_sub(worker.entry.capacity, worker.declared);
            let mut evicted = Vec::new();
            for id in &worker.tasks {
                if covers(free, request.need) {
                    break;
                }
                let task = &self.tasks[id].request;
                if !task.urgent {
                    free = saturating_add(free, task.need);
                    evicted.push(id.clone());
                }
            }
            covers(free, request.need).then(|| (vm.clone(), evicted))
        });
        let choices = choices.filter(|(_, evicted)| !evicted.is_empty());
        choices.min_by_key(|(_, evicted)| evicted.len())
    }

    fn tasks_by_rack(&self, job: &JobId) -> BTreeMap<&RackName, usize> {
        let first = |index| TaskId {
            job: job.clone(),
            index,
        };
        let mut racks = BTreeMap::new();
        for task in self.tasks.range(first(0)..=first(u32::MAX)) {
            if let Some(worker) = self.workers.get(&task.1.vm) {
                *racks.entry(&worker.entry.rack).or_default() += 1;
            }
        }
        racks
    }

    fn enter(&mut self, now: Duration, vm: &VmName, request: &TaskRequest) {
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.declared = saturating_add(worker.declared, request.need);
            worker.unreported = saturating_add(worker.unreported, request.need);
            worker.changed = worker.changed.max(now);
            worker.tasks.insert(request.id.clone());
        }
        if let Some(team) = &request.team {
            let used = self.used.entry(team.clone()).or_default();
            *used = saturating_add(*used, request.need);
        }
        let task = PlacedTask {
            vm: vm.clone(),
            request: request.clone(),
        };
        self.tasks.insert(request.id.clone(), task);
    }
}

impl WorkerState {
    fn free(&self) -> ResourceAmount {
        let reported = saturating_add(self.reported, self.unreported);
        saturating_sub(self.entry.capacity, component_max(self.declared, reported))
    }

    fn is_quarantined(&self) -> bool {
        self.failed_jobs.len() >= WORKER_FAILURE_LIMIT
    }
}
