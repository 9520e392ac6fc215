//! Stand-in of the machines' API: the list, moves and upkeep.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http::Answer;
use crate::http::Request;
use crate::http::Server;
use crate::json::Json;
use crate::json::table;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Gangs;
use crate::worker::Life;
use crate::worker::Worker;
use crate::worker::WorkerSettings;

/// Seconds of a move and of an upkeep, as in a small deployment.
const MOVE: Duration = Duration::from_millis(1500);
const UPKEEP: Duration = Duration::from_millis(2000);

struct Machine {
    settings: WorkerSettings,
    state: &'static str,
    /// Waves of which it has had its upkeep.
    waves: Vec<u64>,
    life: Option<Life>,
}

#[derive(Default)]
struct State {
    machines: BTreeMap<String, Machine>,
    lives: u64,
}

/// Machines and their workers; clones share their state.
#[derive(Clone)]
pub struct Cloud {
    state: Arc<Mutex<State>>,
    store: Store,
    record: Record,
    gangs: Gangs,
}

impl Cloud {
    pub fn new(store: &Store, record: &Record) -> Cloud {
        Cloud {
            state: Arc::default(),
            store: store.clone(),
            record: record.clone(),
            gangs: Gangs::default(),
        }
    }

    /// Starts the server of the machines' API.
    pub fn start(&self) -> std::io::Result<Server> {
        let own = self.clone();
        Server::start(([127, 0, 0, 1], 0).into(), move |request| {
            own.handle(&request)
        })
    }

    /// Adds a machine, or brings one up again, with a new worker.
    pub fn bring_up(&self, name: &str, settings: &WorkerSettings) {
        let mut state = self.state.lock().expect("lock the machines");
        state.lives += 1;
        let id = format!("i-{:08x}", state.lives);
        let local = ([127, 0, 0, 1], 0).into();
        let life = Worker::start(
            &id,
            local,
            settings,
            &self.store,
            &self.record,
            &self.gangs,
            None,
        );
        let life = life.expect("start a worker");
        let machine = state.machines.entry(name.to_owned()).or_insert(Machine {
            settings: settings.clone(),
            state: "up",
            waves: Vec::new(),
            life: None,
        });
        machine.settings = settings.clone();
        machine.state = "up";
        machine.life = Some(life);
    }

    /// Ends the worker of a machine; `state` is the machine's from then on.
    fn take_down(&self, machine: &mut Machine, state: &'static str) {
        machine.state = state;
        if let Some(life) = machine.life.take() {
            life.worker.crash();
            life.server.stop();
            self.store.remove(&format!("servers/{}", life.worker.id));
        }
    }

    /// The worker of a machine crashes; the machine and a new worker are back after a time.
    pub fn crash(&self, name: &str, down: Duration) {
        let settings = {
            let mut state = self.state.lock().expect("lock the machines");
            let Some(machine) = state.machines.get_mut(name) else {
                return;
            };
            machine.state = "down";
            let Some(life) = machine.life.take() else {
                return;
            };
            let id = life.worker.id.clone();
            self.record
                .write(&format!("crash machine={name} worker={id}"));
            life.worker.crash();
            life.server.stop();
            let store = self.store.clone();
            // A worker that crashes sends nothing: its entry goes after three heartbeats.
            let silence = Duration::from_millis(3 * machine.settings.heartbeat_ms);
            thread::spawn(move || {
                thread::sleep(silence);
                store.remove(&format!("servers/{id}"));
            });
            machine.settings.clone()
        };
        self.come_back(name.to_owned(), settings, down);
    }

    /// The worker of a machine crashes silently and starts again under the id that it had.
    pub fn restart_silently(&self, name: &str, down: Duration) {
        let mut state = self.state.lock().expect("lock the machines");
        let Some(machine) = state.machines.get_mut(name) else {
            return;
        };
        let Some(life) = machine.life.clone() else {
            return;
        };
        self.record.write(&format!(
            "silent crash machine={name} worker={}",
            life.worker.id
        ));
        life.link.go_dark();
        life.worker.crash();
        let (own, settings, name) = (self.clone(), machine.settings.clone(), name.to_owned());
        thread::spawn(move || {
            thread::sleep(down);
            let (id, local) = (&life.worker.id, ([127, 0, 0, 1], 0).into());
            let next = Worker::start(
                id,
                local,
                &settings,
                &own.store,
                &own.record,
                &own.gangs,
                Some(&life.link),
            );
            let next = next.expect("start a worker");
            own.record.write(&format!(
                "up again machine={name} worker={id} born={}",
                next.worker.born
            ));
            let mut state = own.state.lock().expect("lock the machines");
            if let Some(machine) = state.machines.get_mut(&name) {
                machine.life = Some(next);
            }
        });
    }

    fn come_back(&self, name: String, settings: WorkerSettings, after: Duration) {
        let own = self.clone();
        thread::spawn(move || {
            thread::sleep(after);
            own.bring_up(&name, &settings);
        });
    }

    /// Returns the workers that are up, with their machines.
    pub fn workers(&self) -> Vec<(String, Worker)> {
        let state = self.state.lock().expect("lock the machines");
        let machines = state.machines.iter();
        let up = machines.filter_map(|(name, machine)| {
            let life = machine.life.as_ref()?;
            Some((name.clone(), life.worker.clone()))
        });
        up.collect()
    }

    /// Returns the machine on which a task runs.
    pub fn machine_of(&self, task: &str) -> Option<String> {
        let mut workers = self.workers().into_iter();
        let found = workers.find(|(_, worker)| worker.tasks().iter().any(|own| own == task));
        found.map(|(name, _)| name)
    }

    fn handle(&self, request: &Request) -> Answer {
        let body = Json::parse(&request.text()).unwrap_or(Json::Null);
        let name = body.get("machine").text();
        let mut state = self.state.lock().expect("lock the machines");
        if request.path == "/machines" {
            let rows = state.machines.iter().map(|(name, machine)| {
                let settings = &machine.settings;
                let labels = settings.labels.iter().map(|label| label.as_str().into());
                let life = machine.life.as_ref();
                table([
                    ("machine", name.as_str().into()),
                    ("pool", settings.service.as_str().into()),
                    ("state", machine.state.into()),
                    ("zone", settings.zone.as_str().into()),
                    ("labels", labels.collect::<Vec<Json>>().into()),
                    (
                        "capacity",
                        life.map_or(Json::Null, |life| life.worker.capacity()),
                    ),
                    (
                        "id",
                        life.map_or(Json::Null, |life| life.worker.id.as_str().into()),
                    ),
                ])
            });
            let rows: Vec<Json> = rows.collect();
            let body = table([("machines", rows.into()), ("nextToken", Json::Null)]);
            return Some((200, body.to_string()));
        }
        let Some(machine) = state.machines.get_mut(name) else {
            return Some((400, "{}".to_owned()));
        };
        let busy = Some((409, r#"{"reason":"busy"}"#.to_owned()));
        let mut settings = machine.settings.clone();
        let down = match request.path.as_str() {
            "/machine-move" => {
                let pool = body.get("pool").text().to_owned();
                if settings.service == pool {
                    return Some((200, "{}".to_owned()));
                }
                if machine.state != "up" {
                    return busy;
                }
                settings.service = pool;
                machine.settings = settings.clone();
                self.take_down(machine, "moving");
                MOVE
            }
            "/machine-upkeep" => {
                let wave = body.get("wave").number();
                if machine.waves.contains(&wave) {
                    return Some((200, "{}".to_owned()));
                }
                if machine.state != "up" {
                    return busy;
                }
                machine.waves.push(wave);
                self.take_down(machine, "upkeep");
                UPKEEP
            }
            _ => return Some((404, "{}".to_owned())),
        };
        self.record.write(&format!("order {} {body}", request.path));
        drop(state);
        self.come_back(name.to_owned(), settings, down);
        Some((200, "{}".to_owned()))
    }
}
