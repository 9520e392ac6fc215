//! A scheduler with simulated workers, store and callers.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chicorygauge::jobs::account::AccountConfig;
use chicorygauge::jobs::account::AccountName;
use chicorygauge::jobs::actions::Action;
use chicorygauge::jobs::actions::CallToken;
use chicorygauge::jobs::callers::Submission;
use chicorygauge::jobs::config::JobConfig;
use chicorygauge::jobs::config::PoolConfig;
use chicorygauge::jobs::config::QueueConfig;
use chicorygauge::jobs::engine::JobEngine;
use chicorygauge::jobs::engine::SchedulerSettings;
use chicorygauge::jobs::engine::TimePair;
use chicorygauge::jobs::orders::CallResult;
use chicorygauge::jobs::record::BodyRecord;
use chicorygauge::jobs::record::ShardKeys;
use chicorygauge::jobs::types::JobSpec;
use chicorygauge::jobs::types::ResourceVector;
use chicorygauge::jobs::types::RunEnd;
use chicorygauge::jobs::types::StepSpec;
use chicorygauge::jobs::types::WorkerState;
use chicorygauge::jobs::writes::WriteBatch;
use chicorygauge::ports::WorkerCall;
use chicorygauge::ports::WorkerEntry;
use chicorygauge::ports::WorkerReply;
use chicorygauge::ports::worker::EndedRow;
use chicorygauge::ports::worker::RunningRow;
use chicorygauge::ports::worker::WorkerOrder;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Time until the answer of a worker, in milliseconds.
const CALL_MS: u64 = 2;
/// Duration of a commit, in milliseconds.
const COMMIT_MS: u64 = 4;
/// Period of the scheduler's tick, in milliseconds.
const TICK_MS: u64 = 50;
/// Number of pools with a queue.
const POOLS: usize = 4;
/// Time in which one queue has its load peak, in milliseconds.
const TURN_MS: u64 = 5_000;
/// Share of the jobs that arrive at the queue that has its peak.
const PEAK_SHARE: f64 = 0.85;
/// Jobs that arrive per second and worker.
const JOBS_PER_WORKER: f64 = 0.12;
/// Pool for which the backlog waits.
const FULL_POOL: usize = POOLS;

/// Processor time of each part of the scheduler.
#[derive(Clone, Copy, Debug, Default)]
pub struct PartTimes {
    pub calls: Duration,
    pub commits: Duration,
    pub placing: Duration,
    pub ticks: Duration,
    pub callers: Duration,
}

impl PartTimes {
    pub fn total(&self) -> Duration {
        self.calls + self.commits + self.placing + self.ticks + self.callers
    }
}

#[derive(Clone, Debug, Default)]
struct SimulatedWorker {
    /// End time and run number of each task in progress.
    runs: BTreeMap<String, (u64, u32)>,
    ended: Vec<EndedRow>,
    last_end: u64,
    /// Hold call that waits: its token, when it was sent, and its deadline.
    waiting: Option<(CallToken, u64, u64)>,
}

enum Event {
    CallArrives(WorkerCall, CallToken, u64),
    CallEnds(CallToken, WorkerReply, u64),
    CommitEnds(Box<WriteBatch>),
    RunEnds(String),
    HoldExpires(String, u64),
}

pub struct Simulation {
    pub times: PartTimes,
    /// Number of runs that workers have started.
    pub started: u64,
    engine: JobEngine,
    now: u64,
    workers: HashMap<String, SimulatedWorker>,
    events: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    committing: bool,
    waiter: u64,
    owed_jobs: f64,
    jobs: u64,
    worker_count: usize,
    accounts: Vec<AccountName>,
    random: StdRng,
}

fn pool_name(pool: usize) -> String {
    format!("pool-{pool}")
}

fn config(accounts: &[AccountName]) -> JobConfig {
    let queues = (0..=POOLS).map(|pool| QueueConfig {
        name: format!("queue-{pool}"),
        host: format!("queue-{pool}.example"),
        prefix: "/jobs/".to_owned(),
        pool: pool_name(pool),
        attempts: 4,
        slack: 1.6,
        target_ms: 600,
        ..QueueConfig::default()
    });
    let pools = (0..=POOLS).map(|pool| PoolConfig {
        name: pool_name(pool),
        guarded: true,
        standby: false,
    });
    let configured = accounts
        .iter()
        .enumerate()
        .map(|(number, name)| AccountConfig {
            name: name.to_string(),
            // Above the rate of all jobs together, so that none is beyond the rate.
            weight: 1_000.0 + (number % 7) as f64 * 100.0,
            limit: ResourceVector {
                cpu: 100_000_000,
                ..ResourceVector::default()
            },
            ..AccountConfig::default()
        });
    JobConfig {
        version: 1,
        accounts: (!accounts.is_empty()).then(|| configured.collect()),
        queues: queues.collect(),
        pools: pools.collect(),
        ..JobConfig::default()
    }
}

fn step(tasks: u32, cpu: u64, estimate_ms: u64, after: &[u32]) -> StepSpec {
    StepSpec {
        tasks,
        need: ResourceVector {
            cpu,
            memory_mb: 1_000,
            gpu: 0,
        },
        estimate_ms,
        after: after.to_vec(),
        ..StepSpec::default()
    }
}

/// Runs `work` and adds its duration to `time`.
fn timed<T>(time: &mut Duration, work: impl FnOnce() -> T) -> T {
    let started = Instant::now();
    let result = work();
    *time += started.elapsed();
    result
}

impl Simulation {
    /// Returns a scheduler with this many workers, jobs that wait for a full pool, and client
    /// accounts, to which the jobs belong in turn.
    pub fn new(workers: usize, backlog: usize, accounts: usize) -> Self {
        let accounts: Vec<AccountName> = (0..accounts)
            .map(|number| format!("account-{number:04}").as_str().into())
            .collect();

        let settings = SchedulerSettings {
            holder: "entry".to_owned(),
            ..SchedulerSettings::default()
        };
        let mut simulation = Self {
            times: PartTimes::default(),
            started: 0,
            engine: JobEngine::new(settings, 1, Arc::new(config(&accounts)), 1_000),
            now: 1_000,
            workers: HashMap::new(),
            events: BTreeMap::new(),
            sequence: 0,
            committing: false,
            waiter: 0,
            owed_jobs: 0.0,
            jobs: 0,
            worker_count: workers,
            accounts,
            random: StdRng::seed_from_u64(1),
        };
        for number in 0..workers {
            simulation.add_worker(number, number % POOLS);
        }
        for number in 0..2 {
            simulation.add_worker(workers + number, FULL_POOL);
        }
        for _ in 0..backlog {
            simulation.restore_waiting_job();
        }
        simulation
    }

    fn add_worker(&mut self, number: usize, pool: usize) {
        let id = format!("i-{number:010}");
        let entry = WorkerEntry {
            id: id.clone(),
            born_ms: 1,
            pool: pool_name(pool),
            address: ([127, 0, 0, 1], 9000).into(),
            dc: "a".to_owned(),
            state: WorkerState::Ready,
            capacity: ResourceVector {
                cpu: 32_000,
                memory_mb: 65_536,
                gpu: 0,
            },
            labels: vec!["a".to_owned(), format!("r-{}", number / 12)],
            leaves_in_ms: 0,
        };
        self.workers.insert(id, SimulatedWorker::default());
        self.engine.worker_listed(entry, self.now);
    }

    fn time(&self) -> TimePair {
        TimePair {
            boot: self.now,
            unix: 1_000_000 + self.now,
        }
    }

    fn next_job(&mut self) -> String {
        self.jobs += 1;
        format!("{:016x}", self.jobs.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    /// Returns the account of the last job; none without accounts.
    fn account(&self) -> Option<AccountName> {
        let at = self.jobs.checked_rem(self.accounts.len() as u64)?;
        self.accounts.get(at as usize).cloned()
    }

    /// Adds a job to the full pool; each of its tasks needs a whole worker.
    fn restore_waiting_job(&mut self) {
        let id = self.next_job();
        let body = BodyRecord {
            queue: format!("queue-{FULL_POOL}"),
            pool: pool_name(FULL_POOL),
            submitted_ms: self.time().unix,
            spec: JobSpec {
                spec: "text".to_owned(),
                steps: vec![step(8, 31_000, 60_000, &[])],
                schedule: None,
            },
            account: self.account(),
            terms: None,
        };
        let time = self.time();
        self.engine
            .restore_job(id.as_str().into(), body, None, time);
    }

    fn submit_due_jobs(&mut self) {
        self.owed_jobs += JOBS_PER_WORKER * self.worker_count as f64 / 1000.0;
        while self.owed_jobs >= 1.0 {
            self.owed_jobs -= 1.0;
            let turn = (self.now / TURN_MS) as usize % POOLS;
            let pool = if self.random.random_bool(PEAK_SHARE) {
                turn
            } else {
                self.random.random_range(0..POOLS)
            };
            let cpu = self.random.random_range(2_000..7_000);
            let estimate_ms = self.random.random_range(300..1_500);
            let submission = Submission {
                id: self.next_job().as_str().into(),
                queue: format!("queue-{pool}"),
                pool: pool_name(pool),
                terms: None,
                spec: JobSpec {
                    spec: "text".to_owned(),
                    steps: vec![
                        step(8, cpu, estimate_ms, &[]),
                        step(4, cpu, estimate_ms, &[0]),
                    ],
                    schedule: None,
                },
                account: self.account(),
                beyond_rate: false,
            };
            self.waiter += 1;
            let (time, waiter) = (self.time(), self.waiter);
            timed(&mut self.times.callers, || {
                self.engine.submit(submission, waiter, time);
            });
            self.advance();
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    /// Advances the virtual time.
    pub fn run(&mut self, for_ms: u64) {
        let end = self.now + for_ms;
        while self.now < end {
            self.now += 1;
            self.submit_due_jobs();
            if self.now.is_multiple_of(TICK_MS) {
                let time = self.time();
                timed(&mut self.times.ticks, || self.engine.tick(time));
                self.advance();
            }
            while let Some((key, _)) = self.events.first_key_value().map(|(key, _)| (*key, ())) {
                if key.0 > self.now {
                    break;
                }
                if let Some(event) = self.events.remove(&key) {
                    self.handle(event);
                }
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::CallArrives(call, token, sent_ms) => self.carry_out(&call, token, sent_ms),
            Event::CallEnds(token, reply, sent_ms) => {
                timed(&mut self.times.calls, || {
                    let result = CallResult::Answered(reply);
                    self.engine.handle_call_result(token, result, sent_ms, now);
                });
                self.advance();
            }
            Event::CommitEnds(batch) => {
                self.committing = false;
                timed(&mut self.times.commits, || {
                    self.engine.write_succeeded(&batch, now);
                });
                self.advance();
            }
            Event::RunEnds(worker) => self.end_runs(&worker),
            Event::HoldExpires(worker, deadline) => {
                let state = self.workers.get_mut(&worker);
                let waiting =
                    state.and_then(|state| state.waiting.take_if(|wait| wait.2 == deadline));
                if let Some((token, sent_ms, _)) = waiting {
                    self.answer_hold(&worker, token, sent_ms);
                }
            }
        }
    }

    fn carry_out(&mut self, call: &WorkerCall, token: CallToken, sent_ms: u64) {
        let now = self.now;
        let Some(state) = self.workers.get_mut(&call.worker) else {
            return;
        };
        let reply = WorkerReply::Done { clock_ms: now };
        match &call.order {
            WorkerOrder::Start { task, run, .. } => {
                self.started += 1;
                let work_ms = self.random.random_range(300..1_500);
                state.runs.insert(task.clone(), (now + work_ms, *run));
                self.push(now + work_ms, Event::RunEnds(call.worker.clone()));
                self.push(now + CALL_MS, Event::CallEnds(token, reply, sent_ms));
            }
            WorkerOrder::Stop { task, .. } => {
                state.runs.remove(task);
                self.push(now + CALL_MS, Event::CallEnds(token, reply, sent_ms));
            }
            WorkerOrder::Hold {
                cursor, wait_ms, ..
            } => {
                state.ended.retain(|row| row.number > *cursor);
                if !state.ended.is_empty() || *wait_ms == 0 {
                    return self.answer_hold(&call.worker, token, sent_ms);
                }
                let deadline = now + wait_ms;
                state.waiting = Some((token, sent_ms, deadline));
                self.push(deadline, Event::HoldExpires(call.worker.clone(), deadline));
            }
            WorkerOrder::Pace { .. } => {
                self.push(now + CALL_MS, Event::CallEnds(token, reply, sent_ms));
            }
        }
    }

    fn answer_hold(&mut self, worker: &str, token: CallToken, sent_ms: u64) {
        let now = self.now;
        let Some(state) = self.workers.get(worker) else {
            return;
        };
        let running = state.runs.iter().map(|(task, (_, run))| RunningRow {
            task: task.clone(),
            run: *run,
            checkpoint: String::new(),
            percent: 50,
            load: 0,
        });
        let reply = WorkerReply::Held {
            clock_ms: now,
            born_ms: 1,
            running: running.collect(),
            ended: state.ended.clone(),
        };
        self.push(now + CALL_MS, Event::CallEnds(token, reply, sent_ms));
    }

    fn end_runs(&mut self, worker: &str) {
        let now = self.now;
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let due: Vec<_> = state
            .runs
            .extract_if(.., |_, (end_ms, _)| *end_ms <= now)
            .collect();
        for (task, (_, run)) in due {
            state.last_end += 1;
            state.ended.push(EndedRow {
                number: state.last_end,
                task,
                run,
                end: RunEnd::Done,
                checkpoint: String::new(),
            });
        }
        if !state.ended.is_empty()
            && let Some((token, sent_ms, _)) = state.waiting.take()
        {
            self.answer_hold(worker, token, sent_ms);
        }
    }

    /// Places tasks, starts a commit if one is due, and carries out the actions.
    fn advance(&mut self) {
        let time = self.time();
        timed(&mut self.times.placing, || self.engine.run_placement(time));
        let due = timed(&mut self.times.commits, || self.engine.next_write_ms());
        if !self.committing && due.is_some_and(|due| due <= self.now) {
            let batch = timed(&mut self.times.commits, || {
                self.engine.take_writes(ShardKeys::default(), true, time)
            });
            self.committing = true;
            let batch = Box::new(batch.expect("records that can be encoded"));
            self.push(self.now + COMMIT_MS, Event::CommitEnds(batch));
        }
        for action in self.engine.take_actions() {
            if let Action::Worker { call, token, .. } = action {
                self.push(self.now + 1, Event::CallArrives(call, token, self.now));
            }
        }
    }
}
