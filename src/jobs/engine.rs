//! The scheduler of a shard, a state machine without I/O: its input is events and the
//! time, its output is actions.
//!
//! It owns all jobs of the shard and is the only one that calls the shard's workers.
//! The service around it delivers events, executes the actions and returns their
//! results as events. All times are on the boot clock unless noted otherwise.
//!
//! The start of a run is sent only after its placement is stored, so a successor knows
//! every run that may be alive. A worker's cursor, up to which it forgets ended runs,
//! moves past an end only after that end is stored.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::jobs::account::AccountName;
use crate::jobs::account_rates::AccountState;
use crate::jobs::actions::Action;
use crate::jobs::actions::CallToken;
use crate::jobs::actions::CallerAnswer;
use crate::jobs::actions::WaiterId;
use crate::jobs::admit::AdmissionState;
use crate::jobs::advice_calls::AdviceCalls;
use crate::jobs::advice_requests::AdviceRequests;
use crate::jobs::candidates::PoolCandidates;
use crate::jobs::config::JobConfig;
use crate::jobs::config::QueueConfig;
use crate::jobs::dirty::DirtyJobs;
use crate::jobs::fleet::FleetState;
use crate::jobs::isolation::ClaimedWorkers;
use crate::jobs::job::JobEntry;
use crate::jobs::ledger::AccountLedger;
use crate::jobs::lend::LendingState;
use crate::jobs::limits::LimitState;
use crate::jobs::load::PoolLoad;
use crate::jobs::lost_workers::LostWorkers;
use crate::jobs::pace::FillerPace;
use crate::jobs::stable_map::StableMap;
use crate::jobs::terms::JobTerms;
use crate::jobs::types::JobId;
use crate::jobs::types::JobState;
use crate::jobs::types::TaskId;
use crate::jobs::unplaceable::UnplaceableNeeds;
use crate::jobs::unresponsive::UnresponsiveWorkers;
use crate::jobs::waiting::WaitingJobs;
use crate::jobs::worker::WorkerView;
use crate::ports::WorkerCall;
use crate::ports::worker::WorkerOrder;

/// Timeouts, periods and platform parameters of the scheduler.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// Lease of the runs at a worker, in milliseconds. With a longer one, runs survive
    /// longer outages of the store; with a shorter one, tasks run again sooner after a
    /// crash of a worker that shows only as unanswered calls.
    pub lease_ms: u64,
    /// Longest lease that a worker grants, in milliseconds; it shortens longer ones.
    pub max_hold_ms: u64,
    /// Maximum wait of a hold call at a worker with runs, in milliseconds; short
    /// enough that several calls fit into a lease.
    pub hold_wait_ms: u64,
    /// Delay before a worker that did not answer is called again, in milliseconds;
    /// grows with each consecutive failure.
    pub hold_retry_ms: u64,
    /// Maximum delay before an end of a run is stored, in milliseconds, so that several
    /// share a commit.
    pub flush_ms: u64,
    /// Time after the removal of a worker's entry until the worker counts as gone, in
    /// milliseconds; workers restore their entries within two seconds after an outage
    /// of the store.
    pub entry_grace_ms: u64,
    /// How long the state of a finished job is kept, in milliseconds.
    pub ended_retention_ms: u64,
    /// How much earlier than due an occurrence may start, in milliseconds.
    pub early_start_ms: u64,
    /// Factor by which a task runs longer outside the rack of its data.
    pub remote_factor: f64,
    /// Duration of a VM's move to another pool, in milliseconds.
    pub move_ms: u64,
    /// Duration of a VM's maintenance, in milliseconds.
    pub maintenance_ms: u64,
    /// Time after the end of a former holder's permit until its VM may be ordered, in
    /// milliseconds; at least the platform's minimum time between two holders' orders.
    pub permit_wait_ms: u64,
    /// Whether idle VMs above what all pools use are moved to the standby pool.
    pub rest_idle_vms: bool,
    /// Name under which this owner orders moves and maintenance of VMs.
    pub holder: String,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            lease_ms: 4500,
            max_hold_ms: 10_000,
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
            rest_idle_vms: false,
            holder: String::new(),
        }
    }
}

impl SchedulerSettings {
    /// Returns for how long a lease of the known incarnation can last at most, in milliseconds, on
    /// the worker's clock or on the owner's: the worker's may run up to 2 % slow, and the owner's
    /// estimate of it be ahead by as much; 5 % covers that with a margin.
    #[must_use]
    pub fn granted_lease_ms(&self) -> u64 {
        self.lease_ms * 21 / 20
    }

    /// Returns for how long a lease can last at most, in milliseconds, whatever time an order
    /// has named: that on the worker's clock, which may run up to 2 % slow; 5 % covers that with
    /// a margin.
    #[must_use]
    pub fn longest_lease_ms(&self) -> u64 {
        self.max_hold_ms * 21 / 20
    }
}

/// Time between two checks of all runs for stuck ones and for their pace, in milliseconds.
const RUN_CHECK_MS: u64 = 300;

/// A finished job, of which only the state is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedJob {
    /// Final state.
    pub state: JobState,
    /// When it ended, on the boot clock in milliseconds.
    pub ended_ms: u64,
    /// Client account that submitted it.
    pub account: Option<AccountName>,
}

/// The same instant on both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TimePair {
    /// Monotonic time since boot, in milliseconds.
    pub boot: u64,
    /// Wall clock, in milliseconds since the Unix epoch.
    pub unix: u64,
}

/// The scheduler of one shard.
pub struct JobEngine {
    /// Timeouts, periods and platform parameters.
    pub settings: SchedulerSettings,
    /// Epoch of this ownership of the shard; each owner has a higher one.
    pub epoch: u64,
    /// When the ownership began, on the boot clock.
    pub started_ms: u64,
    /// When all leases granted by former owners have certainly expired, on the boot
    /// clock.
    pub inherited_leases_expiry_ms: u64,
    /// Current configuration.
    pub config: Arc<JobConfig>,
    /// Jobs in progress, and finished ones until their end is stored and no run is left.
    pub jobs: StableMap<JobId, JobEntry>,
    /// Finished jobs whose state is kept for callers.
    pub ended: HashMap<JobId, EndedJob>,
    /// End times and identifiers of finished jobs, oldest first.
    pub ended_order: VecDeque<(u64, JobId)>,
    /// Workers by identifier.
    pub workers: StableMap<String, WorkerView>,
    /// VMs, their orders and maintenance waves.
    pub fleet: FleetState,
    /// Workers lost with runs of which it is not known whether they have crashed.
    pub(crate) lost_workers: LostWorkers,
    /// Unfinished tasks with losses.
    pub(crate) tasks_with_losses: BTreeSet<TaskId>,
    /// Workers that are claimed for isolated starts of suspects.
    pub(crate) claimed_workers: ClaimedWorkers,
    /// Unresponsive workers with runs, and the ends of their leases.
    pub unresponsive: UnresponsiveWorkers,
    /// Requests that wait for a version of a job to be stored, with their answers.
    pub store_waiters: BTreeMap<JobId, Vec<(u64, WaiterId, CallerAnswer)>>,
    /// Jobs whose changes are to be stored.
    pub dirty: DirtyJobs,
    /// Finished jobs whose stored records are to be removed.
    pub expired: VecDeque<JobId>,
    /// Since when the store executes no commits, on the boot clock; none while it does.
    pub store_down_since_ms: Option<u64>,
    /// Whether a commit has had no answer for longer than a slow store takes.
    pub store_unresponsive: bool,
    /// Whether a higher epoch was seen; this scheduler then sends no more orders.
    pub deposed: bool,
    /// Calls to the advice service.
    pub(crate) advice_calls: AdviceCalls,
    /// Requests for advice that are not sent yet.
    pub(crate) advice_requests: AdviceRequests,
    /// Actions since the last [`JobEngine::take_actions`].
    pub(crate) actions: Vec<Action>,
    /// Resources in use by client account.
    pub ledger: AccountLedger,
    /// Bookkeeping of the accounts' limits.
    pub(crate) limits: LimitState,
    /// Jobs with tasks that may need placement.
    pub(crate) waiting: WaitingJobs,
    /// Submission rates of the accounts and what their order in the pools depends on.
    pub(crate) accounts: AccountState,
    /// Workers that placement may choose.
    pub(crate) candidates: PoolCandidates,
    /// Workers with ends that are not known to be stored.
    pub(crate) ending_workers: BTreeSet<String>,
    /// Paces of the fillers beside each worker's serving tasks; full speed if there is none.
    pub(crate) filler_paces: HashMap<String, FillerPace>,
    /// What moves of VMs between pools are planned from.
    pub(crate) lending: LendingState,
    /// Load by pool, as of the last update.
    pub(crate) loads: BTreeMap<String, PoolLoad>,
    /// What admission knows beside the loads.
    pub(crate) admission: AdmissionState,
    /// Terms of the queues of this and earlier configurations.
    pub(crate) former_terms: HashMap<String, JobTerms>,
    /// Position of each queue in the configuration.
    pub(crate) queue_index: HashMap<String, usize>,
    /// When runs were last checked for stuck ones and for their pace.
    pub(crate) runs_checked_ms: u64,
    /// By pool, needs that found no worker in this placement pass; steps that need at least
    /// as much are skipped.
    pub(crate) unplaceable: HashMap<String, UnplaceableNeeds>,
    /// Number of searches for workers.
    pub(crate) searches: u64,
    /// When a long-running task without a worker was last logged.
    pub(crate) waiting_logged_ms: u64,
    /// Inherited runs at workers without an entry: task, worker and run number.
    pub(crate) orphaned_runs: Vec<(TaskId, String, u32)>,
    /// Stops to be repeated: time, worker, task and run number.
    pub(crate) stop_retries: Vec<(u64, String, String, u32)>,
}

impl JobEngine {
    /// Creates a scheduler without jobs.
    #[must_use]
    pub fn new(settings: SchedulerSettings, epoch: u64, config: Arc<JobConfig>, now: u64) -> Self {
        let mut engine = Self {
            settings,
            epoch,
            started_ms: now,
            inherited_leases_expiry_ms: now,
            config,
            jobs: StableMap::default(),
            ended: HashMap::new(),
            ended_order: VecDeque::new(),
            workers: StableMap::default(),
            fleet: FleetState::default(),
            lost_workers: LostWorkers::default(),
            tasks_with_losses: BTreeSet::new(),
            claimed_workers: ClaimedWorkers::default(),
            unresponsive: UnresponsiveWorkers::default(),
            store_waiters: BTreeMap::new(),
            dirty: DirtyJobs::default(),
            expired: VecDeque::new(),
            store_down_since_ms: None,
            store_unresponsive: false,
            deposed: false,
            advice_calls: AdviceCalls::default(),
            advice_requests: AdviceRequests::default(),
            actions: Vec::new(),
            ledger: AccountLedger::default(),
            limits: LimitState::default(),
            waiting: WaitingJobs::default(),
            accounts: AccountState::default(),
            candidates: PoolCandidates::default(),
            ending_workers: BTreeSet::new(),
            filler_paces: HashMap::new(),
            lending: LendingState::default(),
            loads: BTreeMap::new(),
            admission: AdmissionState::default(),
            former_terms: HashMap::new(),
            queue_index: HashMap::new(),
            runs_checked_ms: 0,
            unplaceable: HashMap::new(),
            searches: 0,
            waiting_logged_ms: 0,
            orphaned_runs: Vec::new(),
            stop_retries: Vec::new(),
        };
        engine.index_queues();
        engine.keep_terms();
        engine.apply_accounts();
        engine
    }

    fn index_queues(&mut self) {
        let queues = self.config.queues.iter().enumerate();
        self.queue_index = queues.map(|(at, queue)| (queue.name.clone(), at)).collect();
    }

    /// Returns the actions since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Applies a configuration if its version is higher than the current one.
    pub fn set_config(&mut self, config: Arc<JobConfig>) {
        if config.version > self.config.version {
            log::info!(event = "scheduler_config", version = config.version, before = self.config.version; "");
            let former = std::mem::replace(&mut self.config, config);
            self.index_queues();
            self.keep_terms();
            self.expire_refusals(&former);
            self.apply_accounts();
            self.waiting.mark_all_due();
        }
    }

    /// Returns the queue of a job, if the current configuration has it and is not older than
    /// that under which the job was accepted.
    #[must_use]
    pub fn queue_of(&self, job: &JobEntry) -> Option<&QueueConfig> {
        let accepted = job.body.terms.map_or(0, |terms| terms.version);
        if accepted > self.config.version {
            return None;
        }
        let at = self.queue_index.get(&job.body.queue)?;
        self.config.queues.get(*at)
    }

    /// Returns the pool that runs a job's tasks: that of its queue, or that stored with
    /// the job if the queue no longer exists or is not known yet.
    #[must_use]
    pub fn pool_of<'a>(&'a self, job: &'a JobEntry) -> &'a str {
        self.queue_of(job)
            .map_or(job.body.pool.as_str(), |queue| queue.pool.as_str())
    }

    pub(crate) fn answer(&mut self, waiter: WaiterId, answer: CallerAnswer) {
        self.actions.push(Action::Answer { waiter, answer });
    }

    /// Sends an order to a worker; does nothing if the worker is unknown.
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

    /// Performs the periodic work; called by the service at a fixed period.
    pub fn tick(&mut self, time: TimePair) {
        self.open_occurrences(time);
        self.expire_worker_leases(time.boot);
        self.expire_orphaned_runs(time.boot);
        self.update_unresponsive();
        self.send_due_holds(time.boot);
        self.retry_due_stops(time.boot);
        if time.boot >= self.runs_checked_ms + RUN_CHECK_MS {
            self.runs_checked_ms = time.boot;
            self.check_runs(time.boot);
            self.pace_fillers(time.boot);
        }
        self.expire_ended_jobs(time.boot);
        self.expire_lost_workers(time.boot);
        self.clear_survivors(time.boot);
        self.end_trials(time.boot);
        self.plan_fleet(time.boot);
        self.update_account_metrics(time.boot);
        self.candidates.clear();
        self.waiting.mark_all_due();
    }

    /// Places waiting tasks of the pools that have changed since the last call.
    pub fn run_placement(&mut self, time: TimePair) {
        if !self.deposed {
            self.place_runs(time.boot);
            self.send_advice_call(time.boot);
        }
    }

    fn open_occurrences(&mut self, time: TimePair) {
        let unix = time.unix + self.settings.early_start_ms;
        for job in self.jobs.values_mut() {
            if job.body.spec.schedule.is_some() && job.open_due(time.boot, unix) {
                self.waiting.insert(&job.id);
            }
        }
    }
}
