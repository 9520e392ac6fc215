//! Stand-in of a worker: one machine with its lives.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Answer;
use crate::http::Request;
use crate::http::Server;
use crate::json::Json;
use crate::json::table;
use crate::link::Link;
use crate::record::Record;
use crate::store::Store;

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Time of work after which a subtask that checkpoints has a new value, and the time that a
/// start with a value takes before it works on, as in a small deployment.
const CHECKPOINT_INTERVAL_MS: u64 = 500;
const RESTORE_MS: u64 = 250;

/// How long a member of a gang waits for the others.
const GANG_TIMEOUT: Duration = Duration::from_millis(3000);

/// Time that a stop takes; at most `stopTimeoutMs`, 200 ms in a small deployment.
const STOP: Duration = Duration::from_millis(150);

/// Interval in which runs progress.
const TICK: Duration = Duration::from_millis(5);

/// What a worker does with the subtasks of a job; the job's spec says it, as JSON.
#[derive(Clone, Copy)]
struct Plan {
    work_ms: u64,
    fails: bool,
    lasts: bool,
    cpu: u64,
    /// Number of members if the subtasks are a gang, else 0.
    gang: u64,
    /// Whether it checkpoints.
    saves: bool,
}

impl Plan {
    fn of(spec: &str) -> Plan {
        let spec = Json::parse(spec).unwrap_or(Json::Null);
        Plan {
            work_ms: spec.get("workMs").number(),
            fails: *spec.get("fails") == Json::Bool(true),
            lasts: *spec.get("lasts") == Json::Bool(true),
            cpu: spec.get("cpu").number(),
            gang: spec.get("gang").number(),
            saves: *spec.get("saves") == Json::Bool(true),
        }
    }
}

/// Members of the gangs that are present, over all workers: by the step's name and run, the
/// value that each member was started with.
#[derive(Clone, Default)]
pub struct Gangs {
    present: Arc<Mutex<BTreeMap<(String, u64), Gang>>>,
}

#[derive(Default)]
struct Gang {
    members: BTreeMap<String, String>,
    /// Set once a member has ended, with how the others end.
    ended: Option<&'static str>,
}

impl Gangs {
    fn with<T>(&self, task: &str, run: u64, change: impl FnOnce(&mut Gang) -> T) -> T {
        let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
        let mut present = self.present.lock().expect("lock the gangs");
        change(present.entry((step.to_owned(), run)).or_default())
    }

    /// Returns whether all members are present; all have to carry the same value.
    fn is_complete(&self, task: &str, run: u64, size: u64) -> bool {
        self.with(task, run, |gang| {
            let mut values = gang.members.values();
            let first = values.next();
            gang.members.len() as u64 == size && values.all(|value| Some(value) == first)
        })
    }
}

struct Run {
    run: u64,
    plan: Plan,
    began: Instant,
    /// Last step of its progress.
    stepped: Instant,
    /// Whether the members of its gang were all present once.
    complete: bool,
    /// Time that it still needs to restore.
    restore_ms: f64,
    /// Work that is done.
    worked_ms: f64,
    /// Newest checkpoint.
    saved: String,
    /// When it was told to stop.
    stopping: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    saved: String,
}

/// The value of a checkpoint: the work done and the step that it belongs to.
fn checkpoint(task: &str, worked_ms: u64) -> String {
    let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
    let hash = step.bytes().fold(0x811c_9dc5_u32, |hash, byte| {
        (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    });
    format!("{worked_ms:08x}{hash:08x}")
}

#[derive(Default)]
struct State {
    alive: bool,
    fence: u64,
    lease_end_ms: u64,
    runs: BTreeMap<String, Run>,
    highest: BTreeMap<String, u64>,
    ends: Vec<End>,
    last_end: u64,
}

/// How workers of a deployment are.
#[derive(Clone)]
pub struct WorkerSettings {
    pub service: String,
    pub zone: String,
    pub labels: Vec<String>,
    pub cpu: u64,
    pub memory_mb: u64,
    pub gpu: u64,
    pub hold_max_ms: u64,
    pub heartbeat_ms: u64,
}

/// A worker with its server and the link in front of it.
#[derive(Clone)]
pub struct Life {
    pub worker: Worker,
    pub server: Server,
    pub link: Link,
}

/// One life of a worker; clones share their state.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub born: u64,
    began: Instant,
    settings: WorkerSettings,
    state: Arc<Mutex<State>>,
    ended: Arc<Condvar>,
    record: Record,
    gangs: Gangs,
    /// When a hold was last answered.
    held: Arc<Mutex<Option<Instant>>>,
}

impl Worker {
    /// Starts a life at an address: its server, its clock and its entry in the store.
    pub fn start(
        id: &str,
        address: SocketAddr,
        settings: &WorkerSettings,
        store: &Store,
        record: &Record,
        gangs: &Gangs,
        link: Option<&Link>,
    ) -> std::io::Result<Life> {
        let worker = Worker {
            id: id.to_owned(),
            born: unix_ms(),
            began: Instant::now(),
            settings: settings.clone(),
            state: Arc::new(Mutex::new(State {
                alive: true,
                ..State::default()
            })),
            ended: Arc::default(),
            record: record.clone(),
            gangs: gangs.clone(),
            held: Arc::default(),
        };
        let own = worker.clone();
        let server = Server::start(address, move |request| own.handle(&request))?;
        let ticking = worker.clone();
        thread::spawn(move || {
            while ticking.tick() {
                thread::sleep(TICK);
            }
        });
        let link = match link {
            Some(link) => link.clone(),
            None => Link::start(server.address)?,
        };
        link.lead_to(server.address);
        let (beating, store, address) = (worker.clone(), store.clone(), link.address);
        thread::spawn(move || {
            let mut sequence = 0;
            while beating.is_alive() {
                sequence += 1;
                store.put(
                    &format!("servers/{}", beating.id),
                    &beating.entry(address, sequence),
                );
                thread::sleep(Duration::from_millis(beating.settings.heartbeat_ms));
            }
        });
        Ok(Life {
            worker,
            server,
            link,
        })
    }

    fn entry(&self, address: SocketAddr, sequence: u64) -> Json {
        let labels = self
            .settings
            .labels
            .iter()
            .map(|label| label.as_str().into());
        table([
            ("service", self.settings.service.as_str().into()),
            ("address", address.to_string().into()),
            ("zone", self.settings.zone.as_str().into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("coldRemainingMs", 0.into()),
            ("capacity", self.capacity()),
            ("labels", labels.collect::<Vec<Json>>().into()),
            ("clockMs", self.clock_ms().into()),
            ("born", self.born.into()),
            ("sequence", sequence.into()),
        ])
    }

    /// Returns its capacity as JSON.
    pub fn capacity(&self) -> Json {
        table([
            ("cpu", self.settings.cpu.into()),
            ("memoryReqMb", self.settings.memory_mb.into()),
            ("gpu", self.settings.gpu.into()),
        ])
    }

    fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        change(&mut self.state.lock().expect("lock the worker"))
    }

    fn is_alive(&self) -> bool {
        self.with(|state| state.alive)
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Ends this life: what runs on it terminates and isn't listed any more.
    pub fn crash(&self) {
        self.with(|state| {
            state.alive = false;
            for (task, run) in std::mem::take(&mut state.runs) {
                self.leave_gang(&task, &run, "broken");
                self.record.write(&format!(
                    "worker {} crashed task={task} run={}",
                    self.id, run.run
                ));
            }
        });
    }

    /// Returns the tasks that run here.
    pub fn tasks(&self) -> Vec<String> {
        self.with(|state| state.runs.keys().cloned().collect())
    }

    /// Returns the newest checkpoint of what runs here, and the time since a hold was answered.
    pub fn saved(&self) -> Option<(String, Duration)> {
        let held = (*self.held.lock().expect("lock the time of the hold"))?;
        let saved = self.with(|state| Some(state.runs.values().next()?.saved.clone()))?;
        Some((saved, held.elapsed()))
    }

    fn leave_gang(&self, task: &str, run: &Run, others: &'static str) {
        if run.plan.gang > 0 {
            self.gangs.with(task, run.run, |gang| {
                gang.members.remove(task);
                gang.ended.get_or_insert(others);
            });
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(mut run) = state.runs.remove(task) else {
            return;
        };
        let others = if how == "done" { "done" } else { "broken" };
        self.leave_gang(task, &run, others);
        if how == "stopped" && run.plan.saves && run.worked_ms > 0.0 {
            run.saved = checkpoint(task, run.worked_ms as u64);
        }
        self.record.write(&format!(
            "end worker={} task={task} run={} how={how}",
            self.id, run.run
        ));
        state.last_end += 1;
        state.ends.push(End {
            number: state.last_end,
            task: task.to_owned(),
            run: run.run,
            how,
            saved: run.saved,
        });
        self.ended.notify_all();
    }

    fn tick(&self) -> bool {
        let clock_ms = self.clock_ms();
        self.with(|state| {
            let lapsed = clock_ms >= state.lease_end_ms;
            let tasks: Vec<String> = state.runs.keys().cloned().collect();
            for task in tasks {
                let how = if lapsed {
                    Some("lapsed")
                } else {
                    state
                        .runs
                        .get_mut(&task)
                        .and_then(|run| self.step(&task, run))
                };
                if let Some(how) = how {
                    self.end(state, &task, how);
                }
            }
            state.alive
        })
    }

    /// Lets a run work; returns how it ends, if it does.
    fn step(&self, task: &str, run: &mut Run) -> Option<&'static str> {
        if run.stopping.is_some_and(|since| since.elapsed() >= STOP) {
            return Some("stopped");
        }
        let passed_ms = run.stepped.elapsed().as_secs_f64() * 1000.0;
        run.stepped = Instant::now();
        if run.plan.gang > 0 {
            if let Some(how) = self.gangs.with(task, run.run, |gang| gang.ended) {
                return Some(if run.complete { how } else { "alone" });
            }
            run.complete = run.complete || self.gangs.is_complete(task, run.run, run.plan.gang);
            if !run.complete {
                return (run.began.elapsed() >= GANG_TIMEOUT).then_some("alone");
            }
        }
        if run.restore_ms > 0.0 {
            run.restore_ms -= passed_ms;
            return None;
        }
        run.worked_ms += passed_ms;
        if run.plan.saves {
            let saves = run.worked_ms as u64 / CHECKPOINT_INTERVAL_MS;
            if saves > 0 {
                run.saved = checkpoint(task, saves * CHECKPOINT_INTERVAL_MS);
            }
        }
        let over = run.worked_ms >= run.plan.work_ms as f64;
        match over {
            true if run.plan.fails => Some("failed"),
            true if !run.plan.lasts => Some("done"),
            _ => None,
        }
    }

    fn answer(&self, status: u16, mut body: Json) -> Answer {
        if let Json::Table(fields) = &mut body {
            fields.insert("clockMs".to_owned(), self.clock_ms().into());
            fields.insert("born".to_owned(), self.born.into());
        }
        Some((status, body.to_string()))
    }

    fn refuse(&self, reason: &str) -> Answer {
        self.answer(409, table([("reason", reason.into())]))
    }

    fn handle(&self, request: &Request) -> Answer {
        if !self.is_alive() {
            return None;
        }
        if request.path == "/healthz" {
            return Some((200, "{}".to_owned()));
        }
        let instance = request.header("X-Expect-Instance");
        if instance.is_some_and(|instance| instance != self.id) {
            return self.answer(421, table([]));
        }
        let Some(order) = Json::parse(&request.text()) else {
            return self.answer(400, table([]));
        };
        let fence = order.get("fencingToken").number();
        let stale = self.with(|state| {
            let stale = fence < state.fence;
            state.fence = state.fence.max(fence);
            stale
        });
        if stale {
            return self.refuse("fence");
        }
        match request.path.as_str() {
            "/run-start" => self.start_run(&order),
            "/run-stop" => self.stop_run(&order),
            "/hold" => self.hold(&order),
            "/pace" => self.answer(200, table([])),
            _ => self.answer(404, table([])),
        }
    }

    fn extend(&self, state: &mut State, order: &Json) {
        if order.has("expiresMs") {
            let most = self.clock_ms() + self.settings.hold_max_ms;
            let until = order.get("expiresMs").number().min(most);
            state.lease_end_ms = state.lease_end_ms.max(until);
        }
    }

    fn start_run(&self, order: &Json) -> Answer {
        let task = order.get("task").text().to_owned();
        let run = order.get("runId").number();
        let plan = Plan::of(order.get("spec").text());
        let reason = self.with(|state| {
            if state.runs.get(&task).is_some_and(|known| known.run == run) {
                self.extend(state, order);
                return None;
            }
            if state
                .highest
                .get(&task)
                .is_some_and(|highest| run <= *highest)
            {
                self.extend(state, order);
                return Some("old");
            }
            if order.get("expiresMs").number() <= self.clock_ms() {
                return Some("late");
            }
            self.extend(state, order);
            let used: u64 = state.runs.values().map(|run| run.plan.cpu).sum();
            if used + plan.cpu > self.settings.cpu {
                return Some("room");
            }
            state.highest.insert(task.clone(), run);
            let began = Instant::now();
            let saved = order.get("checkpoint").text().to_owned();
            let done_ms = saved
                .get(..8)
                .and_then(|text| u64::from_str_radix(text, 16).ok());
            let started = Run {
                run,
                plan,
                began,
                stepped: began,
                complete: false,
                restore_ms: if done_ms.is_some() {
                    RESTORE_MS as f64
                } else {
                    0.0
                },
                worked_ms: done_ms.unwrap_or(0) as f64,
                saved: saved.clone(),
                stopping: None,
            };
            state.runs.insert(task.clone(), started);
            if plan.gang > 0 {
                self.gangs.with(&task, run, |gang| {
                    gang.members.insert(task.clone(), saved.clone())
                });
            }
            let fence = order.get("fencingToken").number();
            self.record.write(&format!(
                "start worker={} task={task} run={run} fence={fence} checkpoint={saved}",
                self.id
            ));
            None
        });
        match reason {
            None => self.answer(200, table([])),
            Some(reason) => {
                self.record.write(&format!(
                    "refused worker={} task={task} run={run} reason={reason}",
                    self.id
                ));
                self.refuse(reason)
            }
        }
    }

    fn stop_run(&self, order: &Json) -> Answer {
        let task = order.get("task").text().to_owned();
        let run = order.get("runId").number();
        self.with(|state| {
            let highest = state.highest.entry(task.clone()).or_default();
            *highest = (*highest).max(run);
            if let Some(known) = state.runs.get_mut(&task)
                && known.run <= run
            {
                known.stopping.get_or_insert_with(Instant::now);
            }
        });
        self.answer(200, table([]))
    }

    fn hold(&self, order: &Json) -> Answer {
        let cursor = order.get("ackCursor").number();
        let deadline =
            Instant::now() + Duration::from_millis(order.get("waitMs").number().min(2000));
        let mut state = self.state.lock().expect("lock the worker");
        self.extend(&mut state, order);
        for end in state.ends.extract_if(.., |end| end.number <= cursor) {
            let (task, run, how) = (end.task, end.run, end.how);
            self.record.write(&format!(
                "noted worker={} task={task} run={run} how={how}",
                self.id
            ));
        }
        loop {
            let now = Instant::now();
            if state.last_end > cursor || now >= deadline || !state.alive {
                break;
            }
            let waited = self.ended.wait_timeout(state, deadline - now);
            state = waited.expect("lock the worker").0;
        }
        if !state.alive {
            return None;
        }
        let running = state.runs.iter().map(|(task, run)| {
            let done = run.worked_ms as u64 * 100 / run.plan.work_ms.max(1);
            let percent = done.min(100);
            Json::List(vec![
                task.as_str().into(),
                run.run.into(),
                run.saved.as_str().into(),
                percent.into(),
                run.plan.cpu.into(),
            ])
        });
        let running: Vec<Json> = running.collect();
        let ends = state.ends.iter().take(500).map(|end| {
            Json::List(vec![
                end.number.into(),
                end.task.as_str().into(),
                end.run.into(),
                end.how.into(),
                end.saved.as_str().into(),
            ])
        });
        let ends: Vec<Json> = ends.collect();
        drop(state);
        *self.held.lock().expect("lock the time of the hold") = Some(Instant::now());
        self.answer(
            200,
            table([("running", running.into()), ("finished", ends.into())]),
        )
    }
}
