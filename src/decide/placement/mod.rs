//! Placement of jobs' tasks on workers.
//!
//! A task goes to a worker of its job's pool that has enough free capacity, in the
//! rack with the fewest tasks of the job. Declared needs are often wrong, so a
//! worker's free capacity is its capacity minus the larger of the declared and the
//! reported usage. Thus a worker gets no further tasks if its present ones use more
//! than they declare. A task that can never run is refused at once with the reason.

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

/// Number of different jobs that have to fail on a worker, without a success in
/// between, before it is quarantined.
pub const WORKER_FAILURE_LIMIT: usize = 3;
/// Number of different workers on which a job has to fail, without a success in
/// between, before its tasks are refused.
pub const JOB_FAILURE_LIMIT: usize = 3;
/// Usage above which a worker is under pressure, in percent of its capacity.
const PRESSURE_PERCENT: u64 = 95;

#[derive(Debug)]
struct PlacedTask {
    vm: VmName,
    request: TaskRequest,
}

#[derive(Debug)]
struct WorkerState {
    entry: WorkerEntry,
    /// Declared need of its tasks.
    declared: ResourceAmount,
    /// Usage in the last report, less the needs of tasks that have ended since.
    reported: ResourceAmount,
    /// Declared need of the tasks placed since the last report.
    unreported: ResourceAmount,
    /// When a task was last placed or removed.
    tasks_changed: Duration,
    tasks: BTreeSet<TaskId>,
    /// Jobs with a task that failed here since the last success.
    failed_jobs: BTreeSet<JobId>,
}

/// Workers, the tasks placed on them and the resources that teams use.
#[derive(Debug)]
pub struct PlacementState {
    workers: BTreeMap<VmName, WorkerState>,
    pools: BTreeMap<PoolName, BTreeSet<VmName>>,
    tasks: BTreeMap<TaskId, PlacedTask>,
    quotas: BTreeMap<TeamName, ResourceAmount>,
    /// Declared needs of each team's placed tasks.
    used: BTreeMap<TeamName, ResourceAmount>,
    /// Workers on which a task of the job failed since the job's last success.
    failed_on: BTreeMap<JobId, BTreeSet<VmName>>,
    score: FitScore,
}

impl Default for PlacementState {
    fn default() -> Self {
        Self::new(best_fit)
    }
}

impl PlacementState {
    /// Creates an empty state that chooses by `score` among suitable workers.
    #[must_use]
    pub fn new(score: FitScore) -> Self {
        Self {
            workers: BTreeMap::new(),
            pools: BTreeMap::new(),
            tasks: BTreeMap::new(),
            quotas: BTreeMap::new(),
            used: BTreeMap::new(),
            failed_on: BTreeMap::new(),
            score,
        }
    }

    /// Replaces the teams' quotas; a team without a quota has no limit.
    pub fn set_quotas(&mut self, quotas: BTreeMap<TeamName, ResourceAmount>) {
        self.quotas = quotas;
    }

    /// Adds a worker or updates its entry; its tasks stay.
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
                tasks_changed: Duration::ZERO,
                tasks: BTreeSet::new(),
                failed_jobs: BTreeSet::new(),
            };
            self.workers.insert(vm.clone(), worker);
        }
        let pool = self.pools.entry(entry.pool).or_default();
        pool.insert(vm.clone());
    }

    /// Places a task on a worker, or returns why it has to wait or is refused.
    ///
    /// Waiting tasks are not stored; the caller has to place them again later.
    pub fn place(&mut self, now: Duration, request: &TaskRequest) -> PlacementOutcome {
        if let Some(reason) = self.refusal_reason(request) {
            return PlacementOutcome::Refused(reason);
        }
        if !self.within_quota(request) {
            return PlacementOutcome::Waiting(WaitReason::QuotaExhausted);
        }
        let found = self.find_worker(request).map(|vm| (vm, Vec::new()));
        let found = found.or_else(|| self.find_eviction(request).filter(|_| request.urgent));
        let Some((vm, evicted)) = found else {
            return PlacementOutcome::Waiting(WaitReason::NoCapacity);
        };
        for task in &evicted {
            self.finish(now, task, None);
        }
        self.assign(now, &vm, request);
        PlacementOutcome::Placed { vm, evicted }
    }

    /// Removes a task from its worker.
    ///
    /// `success` is `None` if the task was stopped before it ended by itself.
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
            worker.tasks_changed = worker.tasks_changed.max(now);
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

    /// Records a worker's usage, measured at `measured`, and returns actions that relieve
    /// the worker if it is under pressure.
    ///
    /// A shortage of CPU time throttles tasks, a shortage of memory stops them; urgent
    /// tasks are exempt. A report that was measured before the last change of the
    /// worker's tasks is ignored: it does not show the effect of that change, so the
    /// worker would be relieved of the same pressure twice.
    pub fn record_usage(
        &mut self,
        measured: Duration,
        vm: &VmName,
        usage: ResourceAmount,
    ) -> Vec<ReliefAction> {
        let worker = self.workers.get_mut(vm);
        let Some(worker) = worker.filter(|worker| worker.tasks_changed < measured) else {
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

    /// Returns the quarantined workers, which get no tasks.
    ///
    /// On each of them tasks of [`WORKER_FAILURE_LIMIT`] jobs failed without a success.
    pub fn quarantined(&self) -> impl Iterator<Item = &VmName> {
        let workers = self.workers.iter();
        let quarantined = workers.filter(|(_, worker)| worker.is_quarantined());
        quarantined.map(|(vm, _)| vm)
    }

    fn refusal_reason(&self, request: &TaskRequest) -> Option<RefusalReason> {
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

    /// Returns the schedulable workers of a pool that are not quarantined.
    fn candidates(&self, pool: &PoolName) -> impl Iterator<Item = (&VmName, &WorkerState)> {
        let workers = self.pools.get(pool).into_iter().flatten();
        let workers = workers.map(|vm| (vm, &self.workers[vm]));
        workers.filter(|(_, worker)| worker.entry.schedulable && !worker.is_quarantined())
    }

    /// Finds a worker with enough free capacity.
    ///
    /// Workers on which the job has not failed are preferred, then those in the rack
    /// with the fewest tasks of the job, then those with the lowest score.
    fn find_worker(&self, request: &TaskRequest) -> Option<VmName> {
        let in_rack = self.tasks_by_rack(&request.id.job);
        let failed_on = self.failed_on.get(&request.id.job);
        let workers = self.candidates(&request.id.job.pool);
        let fitting = workers.filter(|(_, worker)| covers(worker.free(), request.need));
        let best = fitting.min_by_key(|(vm, worker)| {
            let failed = failed_on.is_some_and(|workers| workers.contains(*vm));
            let in_rack = in_rack.get(&worker.entry.rack).copied().unwrap_or(0);
            let fit = (self.score)(worker.free(), worker.entry.capacity);
            (failed, in_rack, fit)
        });
        best.map(|(vm, _)| vm.clone())
    }

    /// Finds the worker on which the fewest tasks that are not urgent have to be evicted,
    /// and these tasks.
    fn find_eviction(&self, request: &TaskRequest) -> Option<(VmName, Vec<TaskId>)> {
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

    /// Counts the placed tasks of a job in each rack.
    fn tasks_by_rack(&self, job: &JobId) -> BTreeMap<&RackName, usize> {
        let task_id = |index| TaskId {
            job: job.clone(),
            index,
        };
        let mut racks = BTreeMap::new();
        for task in self.tasks.range(task_id(0)..=task_id(u32::MAX)) {
            if let Some(worker) = self.workers.get(&task.1.vm) {
                *racks.entry(&worker.entry.rack).or_default() += 1;
            }
        }
        racks
    }

    fn assign(&mut self, now: Duration, vm: &VmName, request: &TaskRequest) {
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.declared = saturating_add(worker.declared, request.need);
            worker.unreported = saturating_add(worker.unreported, request.need);
            worker.tasks_changed = worker.tasks_changed.max(now);
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
    /// Returns the capacity that neither the declared nor the reported usage takes.
    fn free(&self) -> ResourceAmount {
        let reported = saturating_add(self.reported, self.unreported);
        saturating_sub(self.entry.capacity, component_max(self.declared, reported))
    }

    fn is_quarantined(&self) -> bool {
        self.failed_jobs.len() >= WORKER_FAILURE_LIMIT
    }
}
