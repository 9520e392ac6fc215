//! Workers, the platform's list of machines, and the advice service.
//!
//! The text of a job tells the workers what its subtasks do: `key=value` pairs separated by
//! blanks. `work` is the time of a subtask, 0 if it lasts, `gang` the number of members of its gang.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Handler;
use crate::http::Request;
use crate::http::Server;
use crate::json::Json;
use crate::json::object;
use crate::record::Record;
use crate::store::Store;

/// Capacity of a worker, in thousandths of a core.
pub const WORKER_CPU: u64 = 32_000;

/// `holdMaxMs` of the site.
const MAX_HOLD_MS: u64 = 10_000;

/// `gangTimeoutMs` of the site.
const GANG_LIMIT: Duration = Duration::from_millis(3000);

/// `restoreMs` of the site.
const RESTORE_MS: u64 = 250;

/// `checkpointIntervalS` of the site, in milliseconds.
const CHECKPOINT_MS: u64 = 500;

/// Time that the figure for a serving subtask covers.
const TAIL_WINDOW: Duration = Duration::from_millis(500);

/// Time until a subtask that lasts is at work.
const STARTUP: Duration = Duration::from_millis(500);

/// Most ends in one answer.
const LISTED_ENDS: usize = 500;

#[derive(Clone)]
struct Run {
    number: u32,
    work_ms: u64,
    cpu: u64,
    gang: usize,
    placed: Instant,
    /// When it began to work; a gang begins together.
    began: Option<Instant>,
    /// Share of its speed at which it may work, in percent.
    pace: u64,
    /// Milliseconds that it adds to the tail of serving subtasks beside it at full speed; 0 if it
    /// does not fill.
    harm_ms: u64,
    /// Tail of a serving subtask without others beside it, in milliseconds; 0 for others.
    tail_ms: u64,
    /// Work that a filling subtask has done, in milliseconds.
    filled_ms: f64,
    /// Work that the checkpoint stands for, in milliseconds.
    base_ms: u64,
    checkpoint: String,
}

struct End {
    number: u64,
    task: String,
    run: u32,
    how: &'static str,
    saved: String,
}

struct Worker {
    id: String,
    machine: String,
    alive: bool,
    born_ms: u64,
    started: Instant,
    token: u64,
    lease_end_ms: u64,
    runs: BTreeMap<String, Run>,
    highest: BTreeMap<String, u32>,
    ends: Vec<End>,
    last_end: u64,
    server: Option<Server>,
    /// Tails of its serving subtasks in the last half second.
    tails: Vec<(Instant, u64)>,
}

/// Times of a queue's advice service, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Advice {
    pub decision_ms: u64,
    pub period_ms: u64,
    pub validity_ms: u64,
}

/// A start that a worker has begun, for the check of a case.
#[derive(Clone, Debug)]
pub struct Start {
    pub at: Instant,
    pub task: String,
}

/// An end that a worker has listed, for the check of a case.
#[derive(Clone, Debug)]
pub struct Ended {
    pub at: Instant,
    pub task: String,
    pub run: u32,
    pub how: &'static str,
}

#[derive(Default)]
struct State {
    workers: Vec<Worker>,
    starts: Vec<Start>,
    ended: Vec<Ended>,
    /// End of each ticket, by ticket.
    tickets: BTreeMap<String, Instant>,
    /// Tail of the serving subtask of each worker over time, in milliseconds.
    tails: Vec<(Instant, String, u64)>,
    /// Calls to the advice service, answered or not.
    advised: usize,
    /// The policy of the queue, if it has one: its starts need tickets.
    advice: Option<Advice>,
}

/// All workers of the deployment; clones share their state.
#[derive(Clone)]
pub struct Fleet {
    shared: Arc<(Mutex<State>, Condvar)>,
    store: Store,
    record: Record,
    pool: String,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Returns ID.K.STEP of a subtask.
fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

fn ticket(step: &str, worker: &str) -> String {
    format!("{worker}-{step}")
}

fn setting(spec: &str, name: &str) -> u64 {
    let pairs = spec.split(' ').filter_map(|pair| pair.split_once('='));
    let mut values = pairs.filter(|(key, _)| *key == name);
    values
        .next()
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}

/// Returns a checkpoint of a step after so much work. It is the same for all members of a gang
/// that have worked as long.
fn checkpoint(task: &str, done_ms: u64) -> String {
    if done_ms == 0 {
        return String::new();
    }
    let hash = step_of(task).bytes().fold(7u32, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(byte.into())
    });
    format!("{done_ms:08x}{hash:08x}")
}

impl Run {
    fn done_ms(&self) -> u64 {
        if self.harm_ms > 0 {
            return self.filled_ms as u64;
        }
        let restore_ms = if self.base_ms > 0 { RESTORE_MS } else { 0 };
        let worked = self
            .began
            .map_or(0, |began| began.elapsed().as_millis() as u64);
        (self.base_ms + worked.saturating_sub(restore_ms)).min(self.work_ms)
    }

    fn saved(&self, task: &str) -> String {
        let done_ms = self.done_ms() / CHECKPOINT_MS * CHECKPOINT_MS;
        if done_ms > self.base_ms {
            checkpoint(task, done_ms)
        } else {
            self.checkpoint.clone()
        }
    }
}

impl Worker {
    fn clock_ms(&self) -> u64 {
        // A clock of the worker's own, which starts anew with each lifetime.
        self.born_ms % 1_000_000 + self.started.elapsed().as_millis() as u64
    }

    fn extend_lease(&mut self, order: &Json) {
        if let Some(until) = order.number("expiresMs") {
            let limit = self.clock_ms() + MAX_HOLD_MS;
            self.lease_end_ms = self.lease_end_ms.max(until.min(limit));
        }
    }
}

impl State {
    fn end(&mut self, at: usize, task: &str, how: &'static str, record: &Record) {
        let worker = &mut self.workers[at];
        let Some(run) = worker.runs.remove(task) else {
            return;
        };
        let saved = match how {
            "done" => String::new(),
            "stopped" => checkpoint(task, run.done_ms()),
            _ => run.saved(task),
        };
        worker.last_end += 1;
        record.write(&format!(
            "end task={task} run={} worker={} how={how} saved={saved}",
            run.number, worker.id
        ));
        worker.ends.push(End {
            number: worker.last_end,
            task: task.to_owned(),
            run: run.number,
            how,
            saved,
        });
        self.ended.push(Ended {
            at: Instant::now(),
            task: task.to_owned(),
            run: run.number,
            how,
        });
    }

    /// Lets the filling subtasks work at their pace, and notes the tails of the serving ones.
    fn work(&mut self, since: Duration) {
        for worker in &mut self.workers {
            let runs = worker.runs.values_mut();
            for run in runs.filter(|run| run.harm_ms > 0) {
                run.filled_ms += since.as_secs_f64() * 10.0 * run.pace as f64;
            }
            let harms = worker.runs.values().map(|run| run.harm_ms * run.pace / 100);
            let harm: u64 = harms.sum();
            let serving = worker.runs.values().find(|run| run.tail_ms > 0);
            let now = Instant::now();
            worker.tails.retain(|(at, _)| now - *at < TAIL_WINDOW);
            let Some(tail) = serving.map(|run| run.tail_ms + harm) else {
                continue;
            };
            worker.tails.push((now, tail));
            self.tails.push((now, worker.id.clone(), tail));
        }
    }

    /// Ends what has finished, lapsed or waited too long, and begins the gangs that are present.
    fn tick(&mut self, record: &Record) {
        let mut ends: Vec<(usize, String, &'static str)> = Vec::new();
        let mut gangs: BTreeMap<(String, u32), Vec<(usize, String)>> = BTreeMap::new();
        for (at, worker) in self.workers.iter().enumerate().filter(|(_, w)| w.alive) {
            let lapsed = worker.clock_ms() >= worker.lease_end_ms;
            for (task, run) in &worker.runs {
                if lapsed {
                    ends.push((at, task.clone(), "lapsed"));
                } else if run.gang > 0 {
                    let key = (step_of(task).to_owned(), run.number);
                    gangs.entry(key).or_default().push((at, task.clone()));
                } else if run.work_ms > 0 && run.done_ms() >= run.work_ms {
                    ends.push((at, task.clone(), "done"));
                }
            }
        }
        for members in gangs.values() {
            self.tick_gang(members, &mut ends);
        }
        for (at, task, how) in ends {
            self.end(at, &task, how, record);
        }
    }

    /// The members of a gang work once all subtasks of one run are present; all must carry the
    /// same checkpoint, so members with another one are not of the same run of the gang.
    fn tick_gang(
        &mut self,
        members: &[(usize, String)],
        ends: &mut Vec<(usize, String, &'static str)>,
    ) {
        let runs: Vec<Run> = members
            .iter()
            .map(|(at, task)| self.workers[*at].runs[task].clone())
            .collect();
        let is_whole = runs.len() == runs[0].gang;
        let is_alike = runs.iter().all(|run| run.checkpoint == runs[0].checkpoint);
        let has_begun = runs.iter().any(|run| run.began.is_some());
        for ((at, task), run) in members.iter().zip(&runs) {
            if has_begun && !is_whole {
                ends.push((*at, task.clone(), "broken"));
            } else if has_begun && run.done_ms() >= run.work_ms {
                ends.push((*at, task.clone(), "done"));
            } else if !has_begun && is_whole && is_alike {
                if let Some(run) = self.workers[*at].runs.get_mut(task) {
                    run.began = Some(Instant::now());
                }
            } else if !has_begun && run.placed.elapsed() > GANG_LIMIT {
                ends.push((*at, task.clone(), "alone"));
            }
        }
    }
}

impl Fleet {
    pub fn new(store: Store, record: Record, pool: &str) -> Self {
        let fleet = Self {
            shared: Arc::default(),
            store,
            record,
            pool: pool.to_owned(),
        };
        let ticker = fleet.clone();
        thread::spawn(move || {
            let mut last = Instant::now();
            loop {
                thread::sleep(Duration::from_millis(5));
                let now = Instant::now();
                ticker.lock().work(now - last);
                last = now;
                ticker.lock().tick(&ticker.record);
                ticker.shared.1.notify_all();
            }
        });
        fleet
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("lock the workers")
    }

    /// Starts a worker on a machine of a rack and registers it; returns its id.
    pub fn start_worker(&self, machine: &str, rack: &str) -> std::io::Result<String> {
        let mut state = self.lock();
        let (at, born_ms) = (state.workers.len(), unix_ms());
        let id = format!("i-{:08x}", 0x7f3a_0000 + at);
        state.workers.push(Worker {
            id: id.clone(),
            machine: machine.to_owned(),
            alive: true,
            born_ms,
            started: Instant::now(),
            token: 0,
            lease_end_ms: 0,
            runs: BTreeMap::new(),
            highest: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            server: None,
            tails: Vec::new(),
        });
        drop(state);
        let fleet = self.clone();
        let handler: Handler = Arc::new(move |request| fleet.handle(at, request));
        let server = Server::start(handler)?;
        let entry = object([
            ("service", self.pool.as_str().into()),
            ("address", server.address.to_string().into()),
            ("zone", "cairo-a".into()),
            ("version", "v1".into()),
            ("slots", 8u64.into()),
            ("state", "ready".into()),
            ("coldRemainingMs", 0u64.into()),
            ("capacity", capacity()),
            ("labels", labels(rack)),
            ("clockMs", 0u64.into()),
            ("born", born_ms.into()),
            ("sequence", 1u64.into()),
        ]);
        self.lock().workers[at].server = Some(server);
        self.record.write(&format!(
            "worker id={id} machine={machine} rack={rack} started"
        ));
        self.store.put(&format!("servers/{id}"), &entry);
        Ok(id)
    }

    /// Lets all open channels to the workers go silent; new ones work.
    pub fn silence(&self) {
        let state = self.lock();
        for worker in &state.workers {
            if let Some(server) = &worker.server {
                server.silence();
            }
        }
        self.record
            .write("all open channels to workers go silent; new ones work");
    }

    /// Returns the starts so far.
    pub fn starts(&self) -> Vec<Start> {
        self.lock().starts.clone()
    }

    /// Returns the number of a job's runs at workers that are up.
    pub fn running(&self, job: &str) -> usize {
        let state = self.lock();
        let runs = state.workers.iter().flat_map(|worker| worker.runs.keys());
        runs.filter(|task| task.starts_with(job)).count()
    }

    /// Returns the tail of the serving subtask of each worker over time, in milliseconds.
    pub fn tails(&self) -> Vec<(Instant, String, u64)> {
        self.lock().tails.clone()
    }

    /// Returns the ends so far.
    pub fn ended(&self) -> Vec<Ended> {
        self.lock().ended.clone()
    }

    /// Sets the policy of the queue.
    pub fn set_advice(&self, advice: Option<Advice>) {
        self.lock().advice = advice;
    }

    /// Returns the number of calls to the advice service.
    pub fn advised(&self) -> usize {
        self.lock().advised
    }

    /// Starts the advice service: it takes one call at a time, and allows all workers.
    pub fn start_advice(&self) -> std::io::Result<Server> {
        let (fleet, turn) = (self.clone(), Mutex::new(()));
        let handler: Handler = Arc::new(move |request| {
            fleet.lock().advised += 1;
            let Ok(_turn) = turn.lock() else {
                return None;
            };
            fleet.advise(&Json::parse(&request.body))
        });
        Server::start(handler)
    }

    fn advise(&self, call: &Json) -> Option<(u16, String)> {
        let advice = self.lock().advice?;
        let (step, workers) = (call.text("step"), call.list("workers"));
        let took_ms = advice.decision_ms + advice.period_ms * workers.len() as u64;
        thread::sleep(Duration::from_millis(took_ms));
        let until = Instant::now() + Duration::from_millis(advice.validity_ms);
        let mut allowed = Vec::new();
        for worker in workers {
            if let Json::Text(id) = worker {
                let ticket = ticket(&step, id);
                self.lock().tickets.insert(ticket.clone(), until);
                allowed.push(Json::List(vec![id.as_str().into(), ticket.into()]));
            }
        }
        self.record.write(&format!(
            "advice step={step} workers={} took_ms={took_ms}",
            workers.len()
        ));
        let body = object([
            ("allowed", allowed.into()),
            ("validityMs", advice.validity_ms.into()),
        ]);
        Some((200, body.to_string()))
    }

    /// Starts the server of the platform's list of machines.
    pub fn start_list(&self) -> std::io::Result<Server> {
        let fleet = self.clone();
        let handler: Handler = Arc::new(move |request| Some(fleet.list(request)));
        Server::start(handler)
    }

    fn list(&self, request: &Request) -> (u16, String) {
        if request.path != "/machines" {
            let busy = object([("reason", "busy".into())]);
            return (409, busy.to_string());
        }
        let state = self.lock();
        let mut rows: BTreeMap<&str, Json> = BTreeMap::new();
        for worker in &state.workers {
            let id = if worker.alive { worker.id.as_str() } else { "" };
            let row = object([
                ("machine", worker.machine.as_str().into()),
                ("pool", self.pool.as_str().into()),
                ("state", if worker.alive { "up" } else { "down" }.into()),
                ("zone", "cairo-a".into()),
                ("labels", Json::List(Vec::new())),
                ("capacity", capacity()),
                ("id", id.into()),
            ]);
            rows.insert(&worker.machine, row);
        }
        let rows: Vec<Json> = rows.into_values().collect();
        let body = object([("machines", rows.into()), ("nextToken", Json::Null)]);
        (200, body.to_string())
    }

    fn handle(&self, at: usize, request: &Request) -> Option<(u16, String)> {
        let order = Json::parse(&request.body);
        let mut state = self.lock();
        let worker = &mut state.workers[at];
        if !worker.alive {
            return None;
        }
        if request
            .header("x-expect-instance")
            .is_some_and(|id| id != worker.id)
        {
            return Some((421, "{}".to_owned()));
        }
        let token = order.number("fencingToken").unwrap_or(0);
        if token < worker.token {
            return Some(self.refuse(worker, "fence"));
        }
        worker.token = token;
        match request.path.as_str() {
            "/run-start" => Some(self.run_start(&mut state, at, &order)),
            "/run-stop" => {
                let (task, run) = (
                    order.text("task"),
                    order.number("runId").unwrap_or(0) as u32,
                );
                let worker = &mut state.workers[at];
                let highest = worker.highest.entry(task.clone()).or_default();
                *highest = (*highest).max(run);
                if worker.runs.get(&task).is_some_and(|own| own.number <= run) {
                    state.end(at, &task, "stopped", &self.record);
                    self.shared.1.notify_all();
                }
                Some((200, answer(&state.workers[at], [])))
            }
            "/hold" => self.hold(state, at, &order),
            "/pace" => {
                let (task, percent) = (order.text("task"), order.number("percent"));
                if let Some(run) = worker.runs.get_mut(&task) {
                    run.pace = percent.unwrap_or(100).min(100);
                }
                Some((200, answer(worker, [])))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn refuse(&self, worker: &Worker, reason: &str) -> (u16, String) {
        (409, answer(worker, [("reason", reason.into())]))
    }

    fn run_start(&self, state: &mut State, at: usize, order: &Json) -> (u16, String) {
        let (task, number) = (
            order.text("task"),
            order.number("runId").unwrap_or(0) as u32,
        );
        let (spec, carried) = (order.text("spec"), order.text("checkpoint"));
        let ticket = ticket(step_of(&task), &state.workers[at].id);
        let is_valid = state
            .tickets
            .get(&ticket)
            .is_some_and(|until| *until > Instant::now());
        let is_allowed = state.advice.is_none() || is_valid && order.text("ticket") == ticket;
        let worker = &mut state.workers[at];
        if worker
            .runs
            .get(&task)
            .is_some_and(|run| run.number == number)
        {
            worker.extend_lease(order);
            return (200, answer(worker, []));
        }
        if worker.highest.get(&task).is_some_and(|run| number <= *run) {
            worker.extend_lease(order);
            return self.refuse(worker, "old");
        }
        if order.number("expiresMs").unwrap_or(0) <= worker.clock_ms() {
            return self.refuse(worker, "late");
        }
        if !is_allowed {
            return self.refuse(worker, "ticket");
        }
        worker.extend_lease(order);
        let cpu = setting(&spec, "cpu");
        let counted = worker.runs.values().filter(|run| run.harm_ms == 0);
        let used: u64 = counted.map(|run| run.cpu).sum();
        if setting(&spec, "harm") == 0 && used + cpu > WORKER_CPU {
            return self.refuse(worker, "room");
        }
        worker.highest.insert(task.clone(), number);
        let base = carried
            .get(..8)
            .and_then(|text| u64::from_str_radix(text, 16).ok());
        let gang = setting(&spec, "gang") as usize;
        let run = Run {
            number,
            work_ms: setting(&spec, "work"),
            cpu,
            gang,
            placed: Instant::now(),
            began: (gang == 0).then(Instant::now),
            pace: 100,
            harm_ms: setting(&spec, "harm"),
            tail_ms: setting(&spec, "tail"),
            filled_ms: 0.0,
            base_ms: base.unwrap_or(0),
            checkpoint: carried.clone(),
        };
        worker.runs.insert(task.clone(), run);
        let id = worker.id.clone();
        self.record.write(&format!(
            "start task={task} run={number} worker={id} checkpoint={carried}"
        ));
        let body = answer(worker, []);
        state.starts.push(Start {
            at: Instant::now(),
            task,
        });
        (200, body)
    }

    fn hold(
        &self,
        mut state: MutexGuard<'_, State>,
        at: usize,
        order: &Json,
    ) -> Option<(u16, String)> {
        let cursor = order.number("ackCursor").unwrap_or(0);
        let wait_ms = order.number("waitMs").unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let worker = &mut state.workers[at];
        worker.extend_lease(order);
        worker.ends.retain(|end| end.number > cursor);
        loop {
            let worker = &state.workers[at];
            if !worker.alive {
                return None;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if worker.ends.iter().any(|end| end.number > cursor) || left.is_zero() {
                break;
            }
            state = self
                .shared
                .1
                .wait_timeout(state, left)
                .expect("wait for ends")
                .0;
        }
        let worker = &state.workers[at];
        let tails = worker.tails.iter().map(|(_, tail)| *tail);
        let mean_tail = tails.sum::<u64>() / worker.tails.len().max(1) as u64;
        let running = worker.runs.iter().map(|(task, run)| {
            let percent = match run.work_ms {
                // A subtask that lasts is at work after a short startup.
                0 if run.placed.elapsed() < STARTUP => 50,
                0 => 100,
                work_ms => run.done_ms() * 100 / work_ms,
            };
            Json::List(vec![
                task.as_str().into(),
                u64::from(run.number).into(),
                run.saved(task).into(),
                percent.into(),
                if run.tail_ms > 0 { mean_tail } else { run.cpu }.into(),
            ])
        });
        let finished = worker.ends.iter().take(LISTED_ENDS).map(|end| {
            Json::List(vec![
                end.number.into(),
                end.task.as_str().into(),
                u64::from(end.run).into(),
                end.how.into(),
                end.saved.as_str().into(),
            ])
        });
        let lists = [
            ("running", running.collect::<Vec<_>>().into()),
            ("finished", finished.collect::<Vec<_>>().into()),
        ];
        Some((200, answer(worker, lists)))
    }
}

fn capacity() -> Json {
    object([
        ("cpu", WORKER_CPU.into()),
        ("memoryReqMb", 131_072u64.into()),
        ("gpu", 0u64.into()),
    ])
}

fn labels(rack: &str) -> Json {
    Json::List(vec!["a".into(), rack.into()])
}

fn answer<const N: usize>(worker: &Worker, fields: [(&str, Json); N]) -> String {
    let mut all = vec![
        ("clockMs".to_owned(), worker.clock_ms().into()),
        ("born".to_owned(), worker.born_ms.into()),
    ];
    all.extend(
        fields
            .into_iter()
            .map(|(name, value)| (name.to_owned(), value)),
    );
    Json::Object(all).to_string()
}
