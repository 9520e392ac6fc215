//! The platform's list of machines, with the worker of each, and orders for machines.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use hyper::StatusCode;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use standin::relay;
use standin::relay::LinkState;
use standin::relay::RunningRelay;
use standin::server;
use standin::server::BufferedRequest;
use standin::server::RunningServer;
use standin::server::ServerControl;
use standin::server::ServerResponse;
use tokio::sync::watch;

use crate::gangs::GangTable;
use crate::harness::store::FakeStore;
use crate::record::CaseRecord;
use crate::worker::CaseWorker;
use crate::worker::WORKER_CPU;
use crate::worker::WORKER_MEMORY;

/// `bounds.migrationS` of the deployment.
const MIGRATION: Duration = Duration::from_millis(1500);

/// `bounds.maintenanceS` of the deployment.
const MAINTENANCE: Duration = Duration::from_millis(2000);

pub fn local() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Returns a control that never closes the socket or its connections.
pub fn always_open() -> ServerControl {
    ServerControl {
        resets: watch::Sender::new(0).subscribe(),
        open: watch::Sender::new(true).subscribe(),
    }
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

struct LiveWorker {
    worker: CaseWorker,
    link: RunningRelay,
    _server: RunningServer,
}

struct MachineState {
    pool: String,
    rack: String,
    state: &'static str,
    live: Option<LiveWorker>,
    waves: Vec<u64>,
}

#[derive(Default)]
struct PlatformState {
    machines: BTreeMap<String, MachineState>,
    lives: u64,
    /// Workers that have lost power: channels to them hang.
    dark: Vec<LiveWorker>,
}

/// Machines of the deployment; clones share their state.
#[derive(Clone)]
pub struct CasePlatform {
    state: Arc<Mutex<PlatformState>>,
    store: FakeStore,
    record: CaseRecord,
    gangs: GangTable,
}

#[derive(Deserialize)]
struct MachineOrder {
    machine: String,
    #[serde(default)]
    pool: String,
    #[serde(default)]
    wave: u64,
}

impl CasePlatform {
    pub fn new(store: FakeStore, record: CaseRecord) -> Self {
        Self {
            state: Arc::default(),
            store,
            record,
            gangs: GangTable::default(),
        }
    }

    fn with_state<T>(&self, change: impl FnOnce(&mut PlatformState) -> T) -> T {
        change(&mut self.state.lock().expect("lock the platform"))
    }

    /// Adds a machine and starts a worker on it.
    pub async fn add_machine(&self, machine: &str, pool: &str, rack: &str) {
        self.with_state(|state| {
            let row = MachineState {
                pool: pool.to_owned(),
                rack: rack.to_owned(),
                state: "up",
                live: None,
                waves: Vec::new(),
            };
            state.machines.insert(machine.to_owned(), row);
        });
        self.start_worker(machine, pool).await;
    }

    /// Returns the rack of a machine; empty if there is none of this name.
    pub fn rack_of(&self, machine: &str) -> String {
        self.with_state(|state| {
            let row = state.machines.get(machine);
            row.map(|row| row.rack.clone()).unwrap_or_default()
        })
    }

    /// Starts a life of a worker on a machine and writes its entry to the store.
    async fn start_worker(&self, machine: &str, pool: &str) {
        let number = self.with_state(|state| {
            state.lives += 1;
            state.lives
        });
        let id = format!("i-{number:04}");
        let worker = CaseWorker::new(&id, unix_ms(), self.record.clone(), self.gangs.clone());
        let handler = worker.clone();
        let server = server::start(local(), always_open(), move |request| {
            handler.clone().handle(request)
        });
        let server = server.await.expect("bind the worker");
        let link = relay::start(local(), server.address, Duration::ZERO);
        let link = link.await.expect("bind the worker's link");
        let rack = self.rack_of(machine);
        let entry = json!({
            "service": pool, "address": link.address, "zone": "a", "version": "1", "slots": 8,
            "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": worker.born_ms,
            "capacity": {"cpu": WORKER_CPU, "memoryReqMb": WORKER_MEMORY, "gpu": 0},
            "labels": ["a", rack],
        });
        self.record
            .line(&format!("worker {id} of {pool} starts on {machine}"));
        self.with_state(|state| {
            let Some(row) = state.machines.get_mut(machine) else {
                return;
            };
            row.pool = pool.to_owned();
            row.state = "up";
            row.live = Some(LiveWorker {
                worker,
                link,
                _server: server,
            });
        });
        self.store.put(&format!("servers/{id}"), &entry);
    }

    fn end_worker(&self, machine: &str, state: &'static str) -> Option<LiveWorker> {
        let live = self.with_state(|platform| {
            let row = platform.machines.get_mut(machine)?;
            row.state = state;
            row.live.take()
        })?;
        live.worker.crash();
        Some(live)
    }

    /// Crashes the worker of a machine: its runs are gone, and its channels break, or hang if it
    /// is `dark`. Another life with another id starts there after `down`. The entry of the one
    /// that has crashed is removed after three heartbeat intervals.
    pub async fn crash_worker(&self, machine: &str, down: Duration, dark: bool) {
        let pool = self.with_state(|state| state.machines.get(machine).map(|row| row.pool.clone()));
        let (Some(pool), Some(live)) = (pool, self.end_worker(machine, "down")) else {
            return;
        };
        let id = live.worker.id.clone();
        let how = if dark { "loses power" } else { "crashes" };
        self.record
            .line(&format!("disruption: worker {id} on {machine} {how}"));
        if dark {
            live.link.set(LinkState::Blackhole);
            self.with_state(|state| state.dark.push(live));
        } else {
            drop(live);
        }
        let store = self.store.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(4500)).await;
            store.remove(&format!("servers/{id}"));
        });
        tokio::time::sleep(down).await;
        self.start_worker(machine, &pool).await;
    }

    /// Loses the worker of a machine for good; its entry is removed after three heartbeat
    /// intervals.
    pub async fn lose_worker(&self, machine: &str) {
        let Some(live) = self.end_worker(machine, "down") else {
            return;
        };
        let id = live.worker.id.clone();
        drop(live);
        self.record.line(&format!(
            "disruption: worker {id} on {machine} is lost for good"
        ));
        tokio::time::sleep(Duration::from_millis(4500)).await;
        self.store.remove(&format!("servers/{id}"));
    }

    /// Returns the machine whose worker runs a subtask of this job, or of which this is the name.
    pub fn machine_of(&self, name: &str) -> Option<String> {
        self.with_state(|state| {
            let mut rows = state.machines.iter();
            let found = rows.find(|(_, row)| {
                let live = row.live.as_ref();
                live.is_some_and(|live| live.worker.runs(name))
            });
            found.map(|(machine, _)| machine.clone())
        })
    }

    /// Handles a call of the system.
    pub async fn handle(self, request: BufferedRequest) -> ServerResponse {
        if request.uri().path() == "/machines" {
            return Ok(server::json(&self.list()));
        }
        let order: MachineOrder = serde_json::from_slice(request.body()).expect("parse the order");
        let path = request.uri().path();
        self.record
            .line(&format!("platform: {path} of {}", order.machine));
        let is_upkeep = path == "/machine-upkeep";
        let outcome = self.with_state(|state| {
            let row = state.machines.get_mut(&order.machine)?;
            let is_done = if is_upkeep {
                row.waves.contains(&order.wave)
            } else {
                row.pool == order.pool
            };
            Some(match (is_done, row.state) {
                (true, _) => Ok(None),
                (false, "up") => {
                    if is_upkeep {
                        row.waves.push(order.wave);
                        Ok(Some(row.pool.clone()))
                    } else {
                        Ok(Some(order.pool.clone()))
                    }
                }
                _ => Err("busy"),
            })
        });
        match outcome {
            None => Ok(server::text(StatusCode::BAD_REQUEST, "{}")),
            Some(Err(reason)) => {
                let body = json!({"reason": reason}).to_string();
                Ok(server::text(StatusCode::CONFLICT, body))
            }
            Some(Ok(None)) => Ok(server::text(StatusCode::OK, "{}")),
            Some(Ok(Some(pool))) => {
                let (state, away) = if is_upkeep {
                    ("upkeep", MAINTENANCE)
                } else {
                    ("moving", MIGRATION)
                };
                if let Some(live) = self.end_worker(&order.machine, state) {
                    self.store.remove(&format!("servers/{}", live.worker.id));
                }
                let platform = self.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(away).await;
                    platform.start_worker(&order.machine, &pool).await;
                });
                Ok(server::text(StatusCode::OK, "{}"))
            }
        }
    }

    fn list(&self) -> Value {
        self.with_state(|state| {
            let rows = state.machines.iter().map(|(machine, row)| {
                let id = row.live.as_ref().map_or("", |live| live.worker.id.as_str());
                json!({
                    "machine": machine, "pool": row.pool, "state": row.state, "zone": "a",
                    "labels": ["a", row.rack], "id": id,
                    "capacity": {"cpu": WORKER_CPU, "memoryReqMb": WORKER_MEMORY, "gpu": 0},
                })
            });
            json!({"machines": rows.collect::<Vec<_>>(), "nextToken": ""})
        })
    }
}
