//! The scheduler of a shard: state and clock in, actions out.
//!
//! It owns all jobs of the shard and is the only one that calls its workers. It
//! holds no socket: the service around it feeds events in, carries actions out and
//! brings their results back as events. Times are on the boot clock.
//!
//! A run is ordered only after its placement is stored, so a successor knows every
//! run that may be alive; an end moves a worker's cursor only after it is stored.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::jobs::actions::Action;
use crate::jobs::actions::CallToken;
use crate::jobs::actions::CallerAnswer;
use crate::jobs::actions::WaiterId;
use crate::jobs::config::JobConfig;
use crate::jobs::config::QueueConfig;
use crate::jobs::fleet::FleetState;
use crate::jobs::job::JobEntry;
use crate::jobs::load::PoolLoad;
use crate::jobs::task::RunPhase;
use crate::jobs::types::JobId;
use crate::jobs::types::JobState;
use crate::jobs::types::TaskId;
use crate::jobs::unresponsive::UnresponsiveWorkers;
use crate::jobs::worker::RunFootprint;
use crate::jobs::worker::WorkerView;
use crate::ports::WorkerCall;
use crate::ports::worker::WorkerOrder;

/// Bounds and periods of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// Lease of the runs at a worker, in milliseconds. Longer survives longer
    /// outages of the store, shorter restarts sooner after a silent crash.
    pub lease_ms: u64,
    /// Longest wait of a call for a worker's lists, in milliseconds; below the
    /// lease by so much that several fit into it.
    pub hold_wait_ms: u64,
    /// Pause after a call to a worker without an answer, in milliseconds.
    pub hold_retry_ms: u64,
    /// How long ends may wait to be stored together, in milliseconds.
    pub flush_ms: u64,
    /// Time after a worker's entry vanished until the worker counts as gone, in
    /// milliseconds; entries are back within two seconds of the store's return.
    pub entry_grace_ms: u64,
    /// How long a finished job's state is kept, in milliseconds.
    pub ended_retention_ms: u64,
    /// How much earlier than due an occurrence may start, in milliseconds.
    pub early_start_ms: u64,
    /// Factor by which work far from its data is slower.
    pub remote_factor: f64,
    /// Time that a move of a VM takes, in milliseconds.
    pub move_ms: u64,
    /// Time that a VM's maintenance takes, in milliseconds.
    pub maintenance_ms: u64,
    /// Time after the end of a former holder's permit until its VM is ordered, in
    /// milliseconds: two holders must not take turns at a VM within the published time.
    pub permit_wait_ms: u64,
    /// Name under which machine orders are given.
    pub holder: String,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            lease_ms: 4500,
            hold_wait_ms: 1000,
            hold_retry_ms: 200,
            flush_ms: 25,
            entry_grace_ms: 2500,
            ended_retention_ms: 120_000,
            early_start_ms: 0,
            remote_factor: 3.0,
            move_ms: 1500,
            maintenance_ms: 2000,
            permit_wait_ms: 4000,
            holder: String::new(),
        }
    }
}

/// Time between two looks over all runs for those that stand still or need another
/// pace, in milliseconds.
const LOOK_MS: u64 = 300;

/// A finished job of which only the state is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedJob {
    /// State.
    pub state: JobState,
    /// When it ended, on the boot clock.
    pub ended_ms: u64,
}

/// Times of both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TimePair {
    /// Boot clock, in milliseconds.
    pub boot: u64,
    /// Time of day, in milliseconds since the Unix epoch.
    pub unix: u64,
}

/// The scheduler.
pub struct JobEngine {
    /// Bounds and periods.
    pub settings: SchedulerSettings,
    /// Epoch of the ownership.
    pub epoch: u64,
    /// When the ownership began, on the boot clock.
    pub started_ms: u64,
    /// When a former owner's leases have surely ended, on the boot clock.
    pub inherited_leases_end_ms: u64,
    /// Configuration in force.
    pub config: Arc<JobConfig>,
    /// Jobs in progress.
    pub jobs: BTreeMap<JobId, JobEntry>,
    /// Finished jobs.
    pub ended: HashMap<JobId, EndedJob>,
    /// Finished jobs, oldest first.
    pub ended_order: VecDeque<(u64, JobId)>,
    /// Workers by the identifier of their life.
    pub workers: BTreeMap<String, WorkerView>,
    /// Machines, moves and waves.
    pub fleet: FleetState,
    /// Workers that do not answer.
    pub unresponsive: UnresponsiveWorkers,
    /// Who waits for a job's version to be stored.
    pub store_waiters: BTreeMap<JobId, Vec<(u64, WaiterId, CallerAnswer)>>,
    /// Jobs to be stored, with the time by which they should be.
    pub dirty: BTreeMap<JobId, u64>,
    /// Jobs whose last version is being stored.
    pub storing: BTreeSet<JobId>,
    /// Records of finished jobs to be removed.
    pub expired: VecDeque<JobId>,
    /// Whether the store took the last commits; submissions are refused if not.
    pub store_down_since_ms: Option<u64>,
    /// Whether a commit is under way for much longer than usual.
    pub store_slow: bool,
    /// Whether a higher epoch was met: nothing more is ordered.
    pub deposed: bool,
    /// Number of advice calls under way.
    pub advice_calls: u32,
    pub(crate) actions: Vec<Action>,
    pub(crate) unplaced: BTreeSet<JobId>,
    pub(crate) placement_due: bool,
    /// Mean work of the jobs of each queue.
    pub(crate) mean_job_work: HashMap<String, f64>,
    /// When the pace of each worker's fillers was last changed.
    pub(crate) pace_changed_ms: HashMap<String, u64>,
    /// Work that arrived lately by pool: when and how much.
    pub(crate) arrivals: HashMap<String, VecDeque<(u64, u64)>>,
    /// VMs that each pool wanted lately, and when.
    pub(crate) decayed_demand: HashMap<String, (f64, u64)>,
    /// Load of each pool, and when it was summed up.
    pub(crate) loads: BTreeMap<String, PoolLoad>,
    pub(crate) loads_summed_ms: u64,
    /// Position of each queue in the configuration.
    pub(crate) queue_index: HashMap<String, usize>,
    /// When runs were last looked over.
    pub(crate) runs_checked_ms: u64,
    /// Least processor and memory that found no room in this pass, by pool.
    pub(crate) unplaceable: HashMap<String, (u64, u64)>,
    /// When a lasting task without a worker was last logged.
    pub(crate) waiting_logged_ms: u64,
    /// Inherited runs at workers without an entry: task, worker and run.
    pub(crate) orphaned_runs: Vec<(TaskId, String, u32)>,
    /// Stops to be repeated: when, worker, task and run.
    pub(crate) stop_retries: Vec<(u64, String, String, u32)>,
}

impl JobEngine {
    /// Makes a scheduler without jobs.
    #[must_use]
    pub fn new(settings: SchedulerSettings, epoch: u64, config: Arc<JobConfig>, now: u64) -> Self {
        let mut engine = Self {
            settings,
            epoch,
            started_ms: now,
            inherited_leases_end_ms: now,
            config,
            jobs: BTreeMap::new(),
            ended: HashMap::new(),
            ended_order: VecDeque::new(),
            workers: BTreeMap::new(),
            fleet: FleetState::default(),
            unresponsive: UnresponsiveWorkers::default(),
            store_waiters: BTreeMap::new(),
            dirty: BTreeMap::new(),
            storing: BTreeSet::new(),
            expired: VecDeque::new(),
            store_down_since_ms: None,
            store_slow: false,
            deposed: false,
            advice_calls: 0,
            actions: Vec::new(),
            unplaced: BTreeSet::new(),
            placement_due: true,
            mean_job_work: HashMap::new(),
            pace_changed_ms: HashMap::new(),
            arrivals: HashMap::new(),
            decayed_demand: HashMap::new(),
            loads: BTreeMap::new(),
            loads_summed_ms: 0,
            queue_index: HashMap::new(),
            runs_checked_ms: 0,
            unplaceable: HashMap::new(),
            waiting_logged_ms: 0,
            orphaned_runs: Vec::new(),
            stop_retries: Vec::new(),
        };
        engine.index_queues();
        engine
    }

    fn index_queues(&mut self) {
        let queues = self.config.queues.iter().enumerate();
        self.queue_index = queues.map(|(at, queue)| (queue.name.clone(), at)).collect();
    }

    /// Takes the actions that are due.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Puts a newer configuration in force; an older one is ignored.
    pub fn set_config(&mut self, config: Arc<JobConfig>) {
        if config.version > self.config.version {
            log::info!(event = "scheduler_config", version = config.version, before = self.config.version; "");
            self.config = config;
            self.index_queues();
            self.placement_due = true;
        }
    }

    /// Returns the queue of a job, if the configuration still has it.
    #[must_use]
    pub fn queue_of(&self, job: &JobEntry) -> Option<&QueueConfig> {
        let at = self.queue_index.get(&job.body.queue)?;
        self.config.queues.get(*at)
    }

    /// Returns the pool that runs a job's tasks.
    #[must_use]
    pub fn pool_of<'a>(&'a self, job: &'a JobEntry) -> &'a str {
        self.queue_of(job)
            .map_or(job.body.pool.as_str(), |queue| queue.pool.as_str())
    }

    /// Marks a job as changed; it is stored by `due_ms`.
    pub(crate) fn mark_dirty(&mut self, id: &JobId, due_ms: u64) {
        let due = self.dirty.entry(id.clone()).or_insert(due_ms);
        *due = (*due).min(due_ms);
    }

    pub(crate) fn answer(&mut self, waiter: WaiterId, answer: CallerAnswer) {
        self.actions.push(Action::Answer { waiter, answer });
    }

    /// Orders a worker to do something.
    pub(crate) fn send_order(&mut self, worker: &str, order: WorkerOrder, token: CallToken) {
        let Some(view) = self.workers.get(worker) else {
            return;
        };
        self.actions.push(Action::Worker {
            address: view.entry.address,
            call: WorkerCall {
                worker: worker.to_owned(),
                epoch: self.epoch,
                order,
            },
            token,
        });
    }

    /// Does what is due at this time.
    pub fn tick(&mut self, time: TimePair) {
        self.open_occurrences(time);
        self.expire_worker_leases(time.boot);
        self.expire_orphaned_runs(time.boot);
        self.update_unresponsive();
        self.send_due_holds(time.boot);
        self.retry_due_stops(time.boot);
        if time.boot >= self.runs_checked_ms + LOOK_MS {
            self.runs_checked_ms = time.boot;
            self.check_runs(time.boot);
            self.pace_fillers(time.boot);
        }
        self.expire_jobs(time.boot);
        self.plan_fleet(time.boot);
        self.placement_due = true;
    }

    /// Places what can be placed, if anything has changed.
    pub fn run_placement(&mut self, time: TimePair) {
        if std::mem::take(&mut self.placement_due) && !self.deposed {
            self.place_runs(time.boot);
        }
    }

    fn open_occurrences(&mut self, time: TimePair) {
        let unix = time.unix + self.settings.early_start_ms;
        for job in self.jobs.values_mut() {
            if job.body.spec.schedule.is_some() {
                job.open_due(time.boot, unix);
            }
        }
    }

    fn expire_jobs(&mut self, now: u64) {
        while let Some((ended_ms, _)) = self.ended_order.front()
            && ended_ms + self.settings.ended_retention_ms < now
        {
            if let Some((_, id)) = self.ended_order.pop_front() {
                self.ended.remove(&id);
                self.expired.push_back(id);
            }
        }
    }

    /// Takes a job in whose state is final: keeps the state, stops what still runs.
    pub(crate) fn finalize_job(&mut self, id: &JobId, now: u64) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if !job.state.is_final() {
            return;
        }
        let live: Vec<_> = job
            .live_runs()
            .map(|(task, run)| (task, run.clone()))
            .collect();
        for (task, run) in &live {
            if matches!(run.phase, RunPhase::Reserved(_)) {
                // It was never ordered.
                self.release_run(task, &run.worker, run.run);
            } else if !run.phase.is_stopping() {
                self.stop_run(task, &run.worker, run.run, now);
            }
        }
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.stored_version < job.version || job.live_runs().next().is_some() {
            return;
        }
        let state = job.state;
        self.jobs.remove(id);
        self.unplaced.remove(id);
        self.ended.insert(
            id.clone(),
            EndedJob {
                state,
                ended_ms: now,
            },
        );
        self.ended_order.push_back((now, id.clone()));
    }

    /// Removes a run from its task and its worker.
    pub(crate) fn release_run(&mut self, task: &TaskId, worker: &str, run: u32) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            let load = job
                .step_spec(task)
                .map(RunFootprint::from)
                .unwrap_or_default();
            if let Some(state) = job.task_mut(task) {
                state
                    .placed
                    .retain(|placed| placed.run != run || placed.worker != worker);
            }
            if let Some(view) = self.workers.get_mut(worker) {
                view.remove_run(task, run, load);
            }
        }
        self.unplaced.insert(task.job.clone());
        self.placement_due = true;
    }
}
