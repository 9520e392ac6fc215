//! Worker: runs tasks under a lease and lists the running and the ended runs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use standin::server;
use standin::server::BufferedRequest;
use standin::server::ServerResponse;
use tokio::sync::watch;

use crate::gangs::GANG_TIMEOUT;
use crate::gangs::GangTable;
use crate::gangs::RESTORE_MS;
use crate::gangs::checkpoint_at;
use crate::gangs::saved_ms;
use crate::record::CaseRecord;

/// `bounds.holdMaxMs` of the deployment.
pub const HOLD_MAX_MS: u64 = 10_000;

/// CPU capacity of a worker, in millicores.
pub const WORKER_CPU: u64 = 32_000;

/// Memory of a worker, in MB.
pub const WORKER_MEMORY: u64 = 131_072;

const TICK: Duration = Duration::from_millis(5);

/// What a job's tasks do, sent as the job's `spec`.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub struct RunPlan {
    /// Work of a run, in milliseconds.
    pub work_ms: u64,
    /// CPU use, in millicores.
    pub cpu: u64,
    /// Whether the tasks run until they are stopped.
    pub lasting: bool,
    /// Number of the last run that fails, by the task's own fault, at the end of its work.
    pub failing_runs: u32,
    /// Whether the runs produce checkpoints.
    pub saves: bool,
    /// Number of members of the gang; 0 if the step is none.
    pub gang: usize,
}

#[derive(Clone, Debug)]
struct LiveRun {
    run: u32,
    plan: RunPlan,
    started: Instant,
    /// Checkpoint that the start carried.
    checkpoint: String,
}

#[derive(Clone, Debug)]
struct EndRow {
    number: u64,
    task: String,
    run: u32,
    how: &'static str,
    saved: String,
}

#[derive(Default)]
struct WorkerState {
    is_down: bool,
    highest_token: u64,
    lease_end_ms: u64,
    runs: BTreeMap<String, LiveRun>,
    /// Highest number of a run that was started or stopped, by task.
    highest_runs: BTreeMap<String, u32>,
    ends: Vec<EndRow>,
    last_end: u64,
}

/// One life of a worker; clones share their state.
#[derive(Clone)]
pub struct CaseWorker {
    pub id: String,
    pub born_ms: u64,
    started: Instant,
    state: Arc<Mutex<WorkerState>>,
    last_ended: watch::Sender<u64>,
    record: CaseRecord,
    gangs: GangTable,
}

#[derive(Default)]
#[derive(Deserialize)]
#[serde(default, rename_all = "camelCase")]
struct OrderBody {
    task: String,
    run_id: u32,
    spec: String,
    checkpoint: String,
    expires_ms: Option<u64>,
    fencing_token: u64,
    ack_cursor: u64,
    wait_ms: u64,
}

impl CaseWorker {
    /// Starts a life of a worker.
    pub fn new(id: &str, born_ms: u64, record: CaseRecord, gangs: GangTable) -> Self {
        let worker = Self {
            id: id.to_owned(),
            born_ms,
            started: Instant::now(),
            state: Arc::default(),
            last_ended: watch::Sender::new(0),
            record,
            gangs,
        };
        let ticking = worker.clone();
        tokio::spawn(async move {
            while ticking.tick() {
                tokio::time::sleep(TICK).await;
            }
        });
        worker
    }

    fn with_state<T>(&self, change: impl FnOnce(&mut WorkerState) -> T) -> T {
        change(&mut self.state.lock().expect("lock the worker"))
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Ends this life: everything that runs is gone and is never listed.
    pub fn crash(&self) {
        self.with_state(|state| {
            state.is_down = true;
            for (task, live) in std::mem::take(&mut state.runs) {
                self.record
                    .ended(&task, live.run, &self.id, "lost with its worker");
                if live.plan.gang > 0 {
                    self.gangs.leave(&task, live.run);
                }
            }
        });
    }

    /// Returns whether this subtask, or one of this job, runs here.
    pub fn runs(&self, name: &str) -> bool {
        self.with_state(|state| {
            let mut tasks = state.runs.keys();
            tasks.any(|task| task == name || task.split('.').next() == Some(name))
        })
    }

    fn end_run(&self, state: &mut WorkerState, task: &str, how: &'static str) {
        let Some(live) = state.runs.remove(task) else {
            return;
        };
        self.record.ended(task, live.run, &self.id, how);
        let saved = self.saved(task, &live);
        if live.plan.gang > 0 && how != "done" {
            self.gangs.leave(task, live.run);
        }
        state.last_end += 1;
        state.ends.push(EndRow {
            number: state.last_end,
            task: task.to_owned(),
            run: live.run,
            how,
            saved,
        });
        self.last_ended.send_replace(state.last_end);
    }

    /// Returns the work that a run has done, with what its checkpoint held, in milliseconds.
    fn progress_ms(&self, task: &str, live: &LiveRun) -> u64 {
        let began = if live.plan.gang > 0 {
            self.gangs.began(task, live.run)
        } else {
            Some(live.started)
        };
        let since = began.map_or(Duration::ZERO, |began| began.elapsed());
        let restore_ms = if live.checkpoint.is_empty() {
            0
        } else {
            RESTORE_MS
        };
        let worked_ms = (since.as_millis() as u64).saturating_sub(restore_ms);
        saved_ms(&live.checkpoint) + worked_ms
    }

    /// Returns the newest checkpoint of a run.
    fn saved(&self, task: &str, live: &LiveRun) -> String {
        if !live.plan.saves {
            return String::new();
        }
        let job = task.split('.').next().unwrap_or(task);
        checkpoint_at(job, self.progress_ms(task, live))
    }

    fn tick(&self) -> bool {
        let clock_ms = self.clock_ms();
        self.with_state(|state| {
            let has_lapsed = clock_ms >= state.lease_end_ms;
            let runs: Vec<(String, LiveRun)> = state
                .runs
                .iter()
                .map(|(task, live)| (task.clone(), live.clone()))
                .collect();
            for (task, live) in runs {
                let is_over = self.progress_ms(&task, &live) >= live.plan.work_ms;
                let is_gang = live.plan.gang > 0;
                let has_waited = live.started.elapsed() >= GANG_TIMEOUT;
                let how = match (has_lapsed, is_over) {
                    (true, _) => Some("lapsed"),
                    _ if is_gang && self.gangs.is_broken(&task, live.run) => Some("broken"),
                    _ if is_gang && self.gangs.began(&task, live.run).is_none() => {
                        has_waited.then_some("alone")
                    }
                    (_, true) if live.run <= live.plan.failing_runs => Some("failed"),
                    (_, true) if !live.plan.lasting => Some("done"),
                    _ => None,
                };
                if let Some(how) = how {
                    self.end_run(state, &task, how);
                }
            }
            !state.is_down
        })
    }

    /// Handles a call of the system.
    pub async fn handle(self, request: BufferedRequest) -> ServerResponse {
        if self.with_state(|state| state.is_down) {
            return Err(std::io::Error::other("the worker is down"));
        }
        let expected = request.headers().get("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.id.as_str()) {
            return Ok(server::text(StatusCode::MISDIRECTED_REQUEST, "{}"));
        }
        let order: OrderBody = serde_json::from_slice(request.body()).expect("parse the order");
        let is_stale = self.with_state(|state| {
            let is_stale = order.fencing_token < state.highest_token;
            state.highest_token = state.highest_token.max(order.fencing_token);
            is_stale
        });
        if is_stale {
            return Ok(self.reply(StatusCode::CONFLICT, json!({"reason": "fence"})));
        }
        match request.uri().path() {
            "/run-start" => Ok(self.start(&order)),
            "/run-stop" => {
                self.stop(&order);
                Ok(self.reply(StatusCode::OK, json!({})))
            }
            "/hold" => Ok(self.hold(&order).await),
            "/pace" => Ok(self.reply(StatusCode::OK, json!({}))),
            path => panic!("unknown call to a worker: {path}"),
        }
    }

    fn reply(
        &self,
        status: StatusCode,
        mut body: Value,
    ) -> hyper::Response<http_body_util::Full<bytes::Bytes>> {
        body["clockMs"] = self.clock_ms().into();
        body["born"] = self.born_ms.into();
        server::text(status, body.to_string())
    }

    fn extend_lease(&self, state: &mut WorkerState, order: &OrderBody) {
        let longest_ms = self.clock_ms() + HOLD_MAX_MS;
        if let Some(until_ms) = order.expires_ms {
            state.lease_end_ms = state.lease_end_ms.max(until_ms.min(longest_ms));
        }
    }

    fn start(&self, order: &OrderBody) -> hyper::Response<http_body_util::Full<bytes::Bytes>> {
        let plan: RunPlan = serde_json::from_str(&order.spec).unwrap_or_default();
        let refusal = self.with_state(|state| {
            let clock_ms = self.clock_ms();
            let live = state.runs.get(&order.task);
            if live.is_some_and(|live| live.run == order.run_id) {
                self.extend_lease(state, order);
                return None;
            }
            let highest = state.highest_runs.get(&order.task);
            if highest.is_some_and(|highest| order.run_id <= *highest) {
                self.extend_lease(state, order);
                return Some("old");
            }
            if order.expires_ms.is_none_or(|until_ms| until_ms <= clock_ms) {
                return Some("late");
            }
            self.extend_lease(state, order);
            let used: u64 = state.runs.values().map(|live| live.plan.cpu).sum();
            if used + plan.cpu > WORKER_CPU {
                return Some("room");
            }
            state.highest_runs.insert(order.task.clone(), order.run_id);
            self.record
                .started(&order.task, order.run_id, &self.id, &order.checkpoint);
            if plan.gang > 0 {
                let (task, run) = (&order.task, order.run_id);
                self.gangs.join(task, run, plan.gang, &order.checkpoint);
            }
            let live = LiveRun {
                run: order.run_id,
                plan,
                started: Instant::now(),
                checkpoint: order.checkpoint.clone(),
            };
            state.runs.insert(order.task.clone(), live);
            None
        });
        match refusal {
            None => self.reply(StatusCode::OK, json!({})),
            Some(reason) => self.reply(StatusCode::CONFLICT, json!({"reason": reason})),
        }
    }

    fn stop(&self, order: &OrderBody) {
        self.with_state(|state| {
            let highest = state.highest_runs.entry(order.task.clone()).or_default();
            *highest = (*highest).max(order.run_id);
            let live = state.runs.get(&order.task);
            if live.is_some_and(|live| live.run <= order.run_id) {
                self.end_run(state, &order.task, "stopped");
            }
        });
    }

    async fn hold(&self, order: &OrderBody) -> hyper::Response<http_body_util::Full<bytes::Bytes>> {
        let cursor = order.ack_cursor;
        self.with_state(|state| {
            self.extend_lease(state, order);
            state.ends.retain(|row| row.number > cursor);
        });
        let mut ended = self.last_ended.subscribe();
        let wait = Duration::from_millis(order.wait_ms);
        // The lists are returned as they are once the wait is over.
        let _ = tokio::time::timeout(wait, ended.wait_for(|number| *number > cursor)).await;
        let body = self.with_state(|state| {
            let running = state.runs.iter().map(|(task, live)| {
                let progress_ms = self.progress_ms(task, live);
                let percent = (progress_ms * 100 / live.plan.work_ms.max(1)).min(100);
                json!([task, live.run, self.saved(task, live), percent, 0])
            });
            let running: Vec<Value> = running.collect();
            let ends = state.ends.iter();
            let ends = ends.map(|row| json!([row.number, row.task, row.run, row.how, row.saved]));
            let ends: Vec<Value> = ends.collect();
            json!({"running": running, "finished": ends})
        });
        self.reply(StatusCode::OK, body)
    }
}
