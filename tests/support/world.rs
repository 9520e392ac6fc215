//! A small world around the scheduler: workers, a store and a list of VMs in memory,
//! with a clock of its own and faults from a seed. It checks what must always hold
//! at the moment at which a worker starts, ends or loses a run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use chicorygauge::jobs::actions::Action;
use chicorygauge::jobs::actions::CallToken;
use chicorygauge::jobs::actions::CallerAnswer;
use chicorygauge::jobs::callers::Submission;
use chicorygauge::jobs::config::JobConfig;
use chicorygauge::jobs::config::PoolConfig;
use chicorygauge::jobs::config::QueueConfig;
use chicorygauge::jobs::engine::JobEngine;
use chicorygauge::jobs::engine::SchedulerSettings;
use chicorygauge::jobs::engine::TimePair;
use chicorygauge::jobs::orders::CallResult;
use chicorygauge::jobs::record::ProgressRecord;
use chicorygauge::jobs::record::ShardKeys;
use chicorygauge::jobs::record::decode;
use chicorygauge::jobs::types::JobSpec;
use chicorygauge::jobs::types::ResourceVector;
use chicorygauge::jobs::types::RunEnd;
use chicorygauge::jobs::types::StepSpec;
use chicorygauge::jobs::types::TaskId;
use chicorygauge::jobs::types::WorkerState;
use chicorygauge::jobs::writes::WriteBatch;
use chicorygauge::ports::FleetCall;
use chicorygauge::ports::FleetReply;
use chicorygauge::ports::WorkerCall;
use chicorygauge::ports::WorkerEntry;
use chicorygauge::ports::WorkerReply;
use chicorygauge::ports::fleet::MachineRow;
use chicorygauge::ports::fleet::MachineState;
use chicorygauge::ports::worker::EndedRow;
use chicorygauge::ports::worker::RefusalReason;
use chicorygauge::ports::worker::RunningRow;
use chicorygauge::ports::worker::WorkerOrder;

/// One way between the scheduler and a worker, in milliseconds.
const HOP_MS: u64 = 2;
/// Time until a call without an answer is given up, in milliseconds.
const CALL_LIMIT_MS: u64 = 500;
/// Time that a commit takes, in milliseconds.
const COMMIT_MS: u64 = 6;
/// Time between two ticks of the scheduler, in milliseconds.
const TICK_MS: u64 = 50;
/// Name of the pool.
pub const POOL: &str = "intake";
/// Name of the standby pool.
pub const STANDBY: &str = "spare";

/// Faults, in thousandths of calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorldFaults {
    /// Calls that do not arrive.
    pub lost: u64,
    /// Calls that are carried out and not answered.
    pub unanswered: u64,
    /// Starts and stops that are not answered and carried out seconds later.
    pub late: u64,
    /// Runs that fail.
    pub failing: u64,
}

#[derive(Clone, Debug)]
struct FakeRun {
    run: u32,
    started_ms: u64,
    work_ms: u64,
    fails: bool,
    lasting: bool,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct FakeWorker {
    pub entry: WorkerEntry,
    pub machine: String,
    /// Whether calls reach it.
    pub reachable: bool,
    /// Whether it runs.
    pub up: bool,
    epoch: u64,
    lease_until_ms: u64,
    runs: BTreeMap<String, FakeRun>,
    highest: BTreeMap<String, u32>,
    ended: Vec<EndedRow>,
    number: u64,
}

#[derive(Clone, Debug)]
enum Pending {
    Arrive(WorkerCall, CallToken, u64),
    ArriveLate(WorkerCall),
    Waiting(WorkerCall, CallToken, u64, u64),
    Answer(CallToken, CallResult, u64),
    Fleet(FleetCall),
    FleetAnswer(FleetCall, Option<FleetReply>),
    Stored(Box<WriteBatch>),
    Back(String, String),
}

/// The world.
pub struct World {
    pub engine: JobEngine,
    pub now: u64,
    pub workers: BTreeMap<String, FakeWorker>,
    pub faults: WorldFaults,
    pub store_up: bool,
    /// What is stored, by key.
    pub stored: BTreeMap<String, Vec<u8>>,
    /// Answers to callers by waiter.
    pub answers: BTreeMap<u64, CallerAnswer>,
    /// Calls to workers in the order in which they were made.
    pub calls: Vec<(u64, WorkerCall)>,
    pub machines: BTreeMap<String, MachineRow>,
    pub specs: BTreeMap<String, JobSpec>,
    pub cancelled: BTreeMap<String, u64>,
    /// Times at which jobs were seen to be complete.
    pub completed: BTreeMap<String, u64>,
    pub submitted: BTreeMap<String, u64>,
    pub moves: usize,
    pub most_down: usize,
    /// Least lasting runs at work since a wave began.
    pub least_at_work: usize,
    done: BTreeSet<String>,
    acknowledged_done: BTreeSet<String>,
    failures: BTreeMap<String, u32>,
    pending: BTreeMap<(u64, u64), Pending>,
    committing: bool,
    sequence: u64,
    random: u64,
    next_worker: u64,
}

/// Makes the configuration of one queue for one pool and a standby pool.
#[must_use]
pub fn config() -> JobConfig {
    let queue = QueueConfig {
        name: "orders".to_owned(),
        host: "orders.example".to_owned(),
        prefix: "/orders/".to_owned(),
        pool: POOL.to_owned(),
        attempts: 4,
        slack: 1.6,
        target_ms: 600,
        ..QueueConfig::default()
    };
    let pool = |name: &str, standby| PoolConfig {
        name: name.to_owned(),
        guarded: true,
        standby,
    };
    JobConfig {
        version: 1,
        queues: vec![queue],
        pools: vec![pool(POOL, false), pool(STANDBY, true)],
        ..JobConfig::default()
    }
}

/// Makes a job of steps that follow each other.
#[must_use]
pub fn job(steps: &[StepSpec]) -> JobSpec {
    let steps = steps.iter().enumerate().map(|(number, step)| StepSpec {
        after: (number as u32).checked_sub(1).into_iter().collect(),
        ..step.clone()
    });
    JobSpec {
        spec: "text".to_owned(),
        steps: steps.collect(),
        schedule: None,
    }
}

/// Makes a step.
#[must_use]
pub fn step(tasks: u32, cpu: u64, estimate_ms: u64) -> StepSpec {
    StepSpec {
        tasks,
        need: ResourceVector {
            cpu,
            memory_mb: 100,
            gpu: 0,
        },
        estimate_ms,
        ..StepSpec::default()
    }
}

impl World {
    /// Makes a world with workers of 32 cores in the pool.
    #[must_use]
    pub fn new(workers: usize, seed: u64) -> Self {
        let settings = SchedulerSettings {
            holder: "entry".to_owned(),
            ..SchedulerSettings::default()
        };
        let mut world = Self {
            engine: JobEngine::new(settings, 1, Arc::new(config()), 1000),
            now: 1000,
            workers: BTreeMap::new(),
            faults: WorldFaults::default(),
            store_up: true,
            stored: BTreeMap::new(),
            answers: BTreeMap::new(),
            calls: Vec::new(),
            machines: BTreeMap::new(),
            specs: BTreeMap::new(),
            cancelled: BTreeMap::new(),
            completed: BTreeMap::new(),
            submitted: BTreeMap::new(),
            moves: 0,
            most_down: 0,
            least_at_work: usize::MAX,
            done: BTreeSet::new(),
            acknowledged_done: BTreeSet::new(),
            failures: BTreeMap::new(),
            pending: BTreeMap::new(),
            committing: false,
            sequence: 0,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            next_worker: 0,
        };
        for number in 0..workers {
            world.add_worker(POOL, &format!("m-{number:02}"));
        }
        world
    }

    /// Adds a worker on a VM.
    pub fn add_worker(&mut self, pool: &str, machine: &str) -> String {
        self.next_worker += 1;
        let id = format!("w-{:04}", self.next_worker);
        let rack = format!("r-{}", self.next_worker / 4);
        let entry = WorkerEntry {
            id: id.clone(),
            born_ms: self.now + self.next_worker,
            pool: pool.to_owned(),
            address: ([127, 0, 0, 1], 9000).into(),
            dc: "a".to_owned(),
            state: WorkerState::Ready,
            room: ResourceVector {
                cpu: 32_000,
                memory_mb: 65_536,
                gpu: 0,
            },
            labels: vec!["a".to_owned(), rack],
            leaves_in_ms: 0,
        };
        self.machines.insert(
            machine.to_owned(),
            MachineRow {
                machine: machine.to_owned(),
                pool: pool.to_owned(),
                state: MachineState::Up,
                labels: entry.labels.clone(),
                worker: id.clone(),
            },
        );
        self.workers.insert(
            id.clone(),
            FakeWorker {
                entry: entry.clone(),
                machine: machine.to_owned(),
                reachable: true,
                up: true,
                epoch: 0,
                lease_until_ms: 0,
                runs: BTreeMap::new(),
                highest: BTreeMap::new(),
                ended: Vec::new(),
                number: 0,
            },
        );
        self.engine.worker_listed(entry, self.now);
        id
    }

    /// Replaces the scheduler by a successor that starts from the store.
    pub fn take_over(&mut self) {
        let epoch = self.engine.epoch + 1;
        let settings = SchedulerSettings {
            holder: format!("entry-{epoch}"),
            ..self.engine.settings.clone()
        };
        let mut engine = JobEngine::new(settings, epoch, Arc::new(config()), self.now);
        engine.inherited_leases_expiry_ms = self.now + 5000;
        engine.fleet.enabled = self.engine.fleet.enabled;
        let time = self.time();
        let keys = ShardKeys::default();
        for (key, value) in &self.stored {
            let Some(id) = key.strip_prefix(&keys.bodies()) else {
                continue;
            };
            let progress = self.stored.get(&format!("{}{id}", keys.progress()));
            let progress = progress.map(|value| decode(key, value).expect("a progress record"));
            let body = decode(key, value).expect("a body");
            engine.restore_job(id.into(), body, progress, time);
        }
        for (key, value) in &self.stored {
            let Some(id) = key.strip_prefix(&keys.progress()) else {
                continue;
            };
            let record: ProgressRecord = decode(key, value).expect("a progress record");
            if record.state.is_final() {
                engine.restore_ended(id.into(), &record, time);
            }
        }
        if let Some(value) = self.stored.get(&keys.permits()) {
            let record = decode(&keys.permits(), value).expect("permits");
            let settings = engine.settings.clone();
            let permits = &mut engine.fleet.permits;
            permits.inherit(record, &settings.holder, settings.permit_wait_ms, time);
        }
        if let Some(value) = self.stored.get(&keys.unresponsive()) {
            let record = decode(&keys.unresponsive(), value).expect("silent workers");
            engine.unresponsive.inherit(record, time);
        }
        let entries = self.workers.values().filter(|worker| worker.up);
        engine.workers_synced(
            entries.map(|worker| worker.entry.clone()).collect(),
            self.now,
        );
        engine.add_inherited_runs(self.now);
        self.engine = engine;
        self.committing = false;
        // Calls of the predecessor stay on their way; their answers reach nobody.
        self.pending.retain(|_, pending| {
            matches!(
                pending,
                Pending::Arrive(..) | Pending::ArriveLate(_) | Pending::Back(..)
            )
        });
        for pending in self.pending.values_mut() {
            if let Pending::Arrive(call, ..) = pending {
                *pending = Pending::ArriveLate(call.clone());
            }
        }
    }

    #[must_use]
    pub fn time(&self) -> TimePair {
        TimePair {
            boot: self.now,
            unix: 1_000_000 + self.now,
        }
    }

    fn chance(&mut self, thousandths: u64) -> bool {
        self.draw() % 1000 < thousandths
    }

    /// Draws a number from the seed.
    pub fn draw(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random >> 8
    }

    /// Hands a job in.
    pub fn submit(&mut self, id: &str, spec: &JobSpec, waiter: u64) {
        self.specs.insert(id.to_owned(), spec.clone());
        self.submitted.entry(id.to_owned()).or_insert(self.now);
        let submission = Submission {
            id: id.into(),
            queue: "orders".to_owned(),
            pool: POOL.to_owned(),
            spec: spec.clone(),
        };
        let time = self.time();
        self.engine.submit(submission, waiter, time);
        self.step();
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: &str, waiter: u64) {
        self.engine.cancel(&id.into(), waiter, self.now);
        self.step();
    }

    /// Lets time pass.
    pub fn run(&mut self, for_ms: u64) {
        let end = self.now + for_ms;
        while self.now < end {
            self.now += 1;
            self.finish_runs();
            if !self.engine.fleet.waves.is_empty() {
                let up = self.workers.values().filter(|worker| worker.up);
                let runs = up.flat_map(|worker| worker.runs.values());
                let lasting = runs.filter(|run| run.lasting).count();
                self.least_at_work = self.least_at_work.min(lasting);
            }
            while let Some((key, _)) = self.pending.first_key_value().map(|(key, _)| (*key, ())) {
                if key.0 > self.now {
                    break;
                }
                if let Some(pending) = self.pending.remove(&key) {
                    self.happen(pending);
                }
            }
            if self.now.is_multiple_of(TICK_MS) {
                let time = self.time();
                self.engine.tick(time);
            }
            self.step();
        }
    }

    fn later(&mut self, delay_ms: u64, pending: Pending) {
        self.sequence += 1;
        self.pending
            .insert((self.now + delay_ms, self.sequence), pending);
    }

    /// Plans, commits and carries out what the scheduler wants.
    fn step(&mut self) {
        let time = self.time();
        self.engine.run_placement(time);
        let due = self
            .engine
            .next_write_ms()
            .is_some_and(|due| due <= self.now);
        if due && !self.committing && self.store_up {
            let batch = self
                .engine
                .take_writes(ShardKeys::default(), true, time)
                .expect("records");
            self.committing = true;
            self.later(COMMIT_MS, Pending::Stored(Box::new(batch)));
        }
        for action in self.engine.take_actions() {
            match action {
                Action::Answer { waiter, answer } => {
                    self.answers.insert(waiter, answer);
                }
                Action::Worker { call, token, .. } => self.send(call, token),
                Action::Fleet(call) => self.later(HOP_MS, Pending::Fleet(call)),
                Action::Advise { .. } => {}
            }
        }
    }

    fn send(&mut self, call: WorkerCall, token: CallToken) {
        self.calls.push((self.now, call.clone()));
        let sent_ms = self.now;
        let reachable = self
            .workers
            .get(&call.worker)
            .is_some_and(|worker| worker.reachable && worker.up);
        let order = !matches!(call.order, WorkerOrder::Hold { .. });
        if !reachable || self.chance(self.faults.lost) {
            return self.later(
                CALL_LIMIT_MS,
                Pending::Answer(token, CallResult::Unknown, sent_ms),
            );
        }
        if order && self.chance(self.faults.late) {
            let delay_ms = 1000 + self.draw() % 4000;
            self.later(delay_ms, Pending::ArriveLate(call));
            return self.later(
                CALL_LIMIT_MS,
                Pending::Answer(token, CallResult::Unknown, sent_ms),
            );
        }
        self.later(HOP_MS, Pending::Arrive(call, token, sent_ms));
    }

    fn happen(&mut self, pending: Pending) {
        match pending {
            Pending::Arrive(call, token, sent_ms) => self.arrive(call, token, sent_ms),
            Pending::ArriveLate(call) => {
                self.carry_out(&call);
            }
            Pending::Waiting(call, token, sent_ms, until_ms) => {
                self.wait(call, token, sent_ms, until_ms);
            }
            Pending::Answer(token, result, sent_ms) => {
                self.engine
                    .handle_call_result(token, result, sent_ms, self.now);
            }
            Pending::Fleet(call) => {
                let reply = self.fleet(&call);
                self.later(HOP_MS, Pending::FleetAnswer(call, Some(reply)));
            }
            Pending::FleetAnswer(call, reply) => {
                self.engine.handle_fleet_reply(&call, reply, self.now)
            }
            Pending::Stored(batch) => self.store(&batch),
            Pending::Back(machine, pool) => {
                self.add_worker(&pool, &machine);
            }
        }
    }

    fn store(&mut self, batch: &WriteBatch) {
        if !self.store_up {
            return self.later(COMMIT_MS, Pending::Stored(Box::new(batch.clone())));
        }
        for write in &batch.writes {
            self.stored.insert(write.key.clone(), write.value.clone());
            let record: Result<ProgressRecord, _> = decode(&write.key, &write.value);
            let id = write.key.rsplit('/').next().unwrap_or_default();
            if write.key.starts_with(&ShardKeys::default().progress())
                && record.is_ok_and(|record| {
                    record.state == chicorygauge::jobs::types::JobState::Completed
                })
            {
                self.completed.entry(id.to_owned()).or_insert(self.now);
            }
        }
        for key in &batch.removals {
            self.stored.remove(key);
        }
        self.committing = false;
        self.engine.write_succeeded(batch, self.now);
    }

    fn arrive(&mut self, call: WorkerCall, token: CallToken, sent_ms: u64) {
        let Some(reply) = self.carry_out(&call) else {
            return self.later(
                CALL_LIMIT_MS,
                Pending::Answer(token, CallResult::Unknown, sent_ms),
            );
        };
        if let WorkerOrder::Hold { wait_ms, .. } = call.order
            && matches!(reply, WorkerReply::Held { .. })
        {
            let until_ms = self.now + wait_ms;
            return self.wait(call, token, sent_ms, until_ms);
        }
        self.answer(token, reply, sent_ms);
    }

    fn answer(&mut self, token: CallToken, reply: WorkerReply, sent_ms: u64) {
        if self.chance(self.faults.unanswered) {
            return self.later(
                CALL_LIMIT_MS,
                Pending::Answer(token, CallResult::Unknown, sent_ms),
            );
        }
        self.later(
            HOP_MS,
            Pending::Answer(token, CallResult::Answered(reply), sent_ms),
        );
    }

    fn wait(&mut self, call: WorkerCall, token: CallToken, sent_ms: u64, until_ms: u64) {
        let Some(worker) = self
            .workers
            .get(&call.worker)
            .filter(|worker| worker.up && worker.reachable)
        else {
            return self.later(
                CALL_LIMIT_MS,
                Pending::Answer(token, CallResult::Unknown, sent_ms),
            );
        };
        if worker.ended.is_empty() && self.now < until_ms {
            return self.later(1, Pending::Waiting(call, token, sent_ms, until_ms));
        }
        let reply = WorkerReply::Held {
            clock_ms: self.now,
            born_ms: worker.entry.born_ms,
            running: worker
                .runs
                .iter()
                .map(|(task, run)| running_row(task, run, self.now))
                .collect(),
            ended: worker.ended.clone(),
        };
        self.answer(token, reply, sent_ms);
    }

    /// Carries an order out at a worker; none if the worker does not answer.
    fn carry_out(&mut self, call: &WorkerCall) -> Option<WorkerReply> {
        let now = self.now;
        let fails = self.chance(self.faults.failing);
        let worker = self
            .workers
            .get_mut(&call.worker)
            .filter(|worker| worker.up)?;
        if call.epoch < worker.epoch {
            return Some(WorkerReply::Refused {
                reason: RefusalReason::Epoch,
            });
        }
        worker.epoch = call.epoch;
        match &call.order {
            WorkerOrder::Hold {
                lease_until_ms,
                cursor,
                ..
            } => {
                worker.lease_until_ms = worker.lease_until_ms.max(lease_until_ms.unwrap_or(0));
                let forgotten: Vec<_> = worker
                    .ended
                    .extract_if(.., |row| row.number <= *cursor)
                    .collect();
                for row in forgotten.iter().filter(|row| row.end == RunEnd::Done) {
                    self.acknowledged_done.insert(row.task.clone());
                }
                Some(WorkerReply::Held {
                    clock_ms: now,
                    born_ms: worker.entry.born_ms,
                    running: Vec::new(),
                    ended: Vec::new(),
                })
            }
            WorkerOrder::Stop { task, run } => {
                let highest = worker.highest.entry(task.clone()).or_default();
                *highest = (*highest).max(*run);
                if worker.runs.get(task).is_some_and(|own| own.run <= *run) {
                    end_run(worker, task, RunEnd::Stopped);
                }
                Some(WorkerReply::Done { clock_ms: now })
            }
            WorkerOrder::Start {
                task,
                run,
                lease_until_ms,
                ..
            } => {
                worker.lease_until_ms = worker.lease_until_ms.max(*lease_until_ms);
                if worker.runs.get(task).is_some_and(|own| own.run == *run) {
                    return Some(WorkerReply::Done { clock_ms: now });
                }
                let reason = if worker
                    .highest
                    .get(task)
                    .is_some_and(|highest| run <= highest)
                {
                    Some(RefusalReason::OldRun)
                } else if *lease_until_ms <= now {
                    Some(RefusalReason::LeaseEnded)
                } else {
                    None
                };
                if let Some(reason) = reason {
                    return Some(WorkerReply::Refused { reason });
                }
                let (id, task, run) = (call.worker.clone(), task.clone(), *run);
                self.begin_run(&id, &task, run, fails);
                Some(WorkerReply::Done { clock_ms: now })
            }
            WorkerOrder::Pace { .. } => Some(WorkerReply::Done { clock_ms: now }),
        }
    }

    /// Starts a run and checks that it may.
    fn begin_run(&mut self, id: &str, task: &str, run: u32, fails: bool) {
        let name = TaskId::parse(task).expect("a task");
        let spec = self
            .specs
            .get(&*name.job)
            .expect("a job that was handed in")
            .clone();
        let step = &spec.steps[name.step as usize];
        for (other, worker) in self.workers.iter().filter(|(_, worker)| worker.up) {
            let twice = worker.runs.contains_key(task) && !step.speculative;
            assert!(
                !twice,
                "{task} run {run} at {id} while it runs at {other}, t={}",
                self.now
            );
        }
        assert!(
            !self.acknowledged_done.contains(task),
            "{task} run {run} after its end was acknowledged"
        );
        for after in &step.after {
            for index in 0..spec.steps[*after as usize].tasks {
                let earlier = format!("{}.{}.{after}.{index}", name.job, name.occurrence);
                assert!(self.done.contains(&earlier), "{task} before {earlier}");
            }
        }
        let failures = self.failures.get(task).copied().unwrap_or(0);
        assert!(
            step.lasting || failures < 4,
            "{task} after {failures} failures"
        );
        if let Some(at) = self.cancelled.get(&*name.job) {
            assert!(
                self.now < at + 3000,
                "{task} long after its job was cancelled"
            );
        }
        let worker = self.workers.get_mut(id).expect("a worker");
        worker.runs.insert(
            task.to_owned(),
            FakeRun {
                run,
                started_ms: self.now,
                work_ms: step.estimate_ms,
                fails: fails && !step.lasting,
                lasting: step.lasting,
            },
        );
        let used: u64 = worker
            .runs
            .keys()
            .map(|task| {
                let name = TaskId::parse(task).expect("a task");
                self.specs[&*name.job].steps[name.step as usize]
                    .reserved()
                    .cpu
            })
            .sum();
        assert!(
            used <= worker.entry.room.cpu,
            "{id} is over its room: {used}"
        );
    }

    fn finish_runs(&mut self) {
        let now = self.now;
        for worker in self.workers.values_mut().filter(|worker| worker.up) {
            let lapsed = now > worker.lease_until_ms;
            let over: Vec<String> = worker
                .runs
                .iter()
                .filter(|(_, run)| lapsed || (!run.lasting && now >= run.started_ms + run.work_ms))
                .map(|(task, _)| task.clone())
                .collect();
            for task in over {
                let fails = worker.runs.get(&task).is_some_and(|run| run.fails);
                let end = match (lapsed, fails) {
                    (true, _) => RunEnd::LeaseExpired,
                    (false, true) => RunEnd::Failed,
                    (false, false) => RunEnd::Done,
                };
                match end {
                    RunEnd::Done => {
                        self.done.insert(task.clone());
                    }
                    RunEnd::Failed => *self.failures.entry(task.clone()).or_default() += 1,
                    _ => {}
                }
                end_run(worker, &task, end);
            }
        }
    }

    fn fleet(&mut self, call: &FleetCall) -> FleetReply {
        match call {
            FleetCall::List { .. } => FleetReply::Page {
                rows: self.machines.values().cloned().collect(),
                next: String::new(),
            },
            FleetCall::Move { machine, pool, .. } => {
                self.moves += 1;
                self.leave(machine, MachineState::Moving, pool.clone(), 1500)
            }
            FleetCall::Maintain { machine, .. } => {
                let pool = self.machines[machine].pool.clone();
                self.leave(machine, MachineState::Maintenance, pool, 2000)
            }
        }
    }

    /// Takes a VM out of service; checks that no lasting task suffers beyond its limit.
    fn leave(
        &mut self,
        machine: &str,
        state: MachineState,
        pool: String,
        for_ms: u64,
    ) -> FleetReply {
        let row = self.machines.get_mut(machine).expect("a VM");
        if row.state != MachineState::Up {
            return FleetReply::Refused {
                status: 409,
                reason: "busy".to_owned(),
            };
        }
        row.state = state;
        row.pool.clone_from(&pool);
        let id = row.worker.clone();
        let worker = self.workers.get_mut(&id).expect("a worker");
        worker.up = false;
        let lasting = worker.runs.values().filter(|run| run.lasting).count();
        assert_eq!(lasting, 0, "{machine} goes down with lasting tasks");
        let down = self
            .machines
            .values()
            .filter(|row| row.state == MachineState::Maintenance);
        self.most_down = self.most_down.max(down.count());
        self.engine.worker_unlisted(&id, self.now);
        self.later(for_ms, Pending::Back(machine.to_owned(), pool));
        FleetReply::Done
    }

    /// Lets a run fail.
    pub fn fail_run(&mut self, worker: &str, task: &str) {
        let worker = self.workers.get_mut(worker).expect("a worker");
        end_run(worker, task, RunEnd::Failed);
    }

    /// Number of runs at work.
    #[must_use]
    pub fn running(&self) -> usize {
        let up = self.workers.values().filter(|worker| worker.up);
        up.map(|worker| worker.runs.len()).sum()
    }

    /// Names of the tasks at a worker.
    #[must_use]
    pub fn tasks_at(&self, worker: &str) -> Vec<String> {
        self.workers[worker].runs.keys().cloned().collect()
    }

    /// Counts the starts sent to workers.
    #[must_use]
    pub fn starts(&self) -> usize {
        let starts = self
            .calls
            .iter()
            .filter(|(_, call)| matches!(call.order, WorkerOrder::Start { .. }));
        starts.count()
    }
}

fn running_row(task: &str, run: &FakeRun, now: u64) -> RunningRow {
    let worked = now.saturating_sub(run.started_ms) * 100;
    RunningRow {
        task: task.to_owned(),
        run: run.run,
        checkpoint: String::new(),
        percent: (worked / run.work_ms.max(1)).min(100) as u32,
        load: 0,
    }
}

fn end_run(worker: &mut FakeWorker, task: &str, end: RunEnd) {
    let Some(run) = worker.runs.remove(task) else {
        return;
    };
    worker.number += 1;
    let highest = worker.highest.entry(task.to_owned()).or_default();
    *highest = (*highest).max(run.run);
    worker.ended.push(EndedRow {
        number: worker.number,
        task: task.to_owned(),
        run: run.run,
        end,
        checkpoint: String::new(),
    });
}
