//! A small deployment on loopback: the stand-ins and the daemons as separate processes.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::cloud::Cloud;
use crate::http::Server;
use crate::http::call;
use crate::json::Json;
use crate::json::table;
use crate::record::Record;
use crate::store::Store;
use crate::worker::WorkerSettings;

/// Host of all routes.
pub const HOST: &str = "pule25.example";

/// The service that runs the jobs, and the spare pool.
pub const SERVICE: &str = "huvo11a";
pub const SPARE: &str = "lohu93e";

/// A client's time limit.
pub const LIMIT: Duration = Duration::from_millis(3000);

/// A daemon, the role `entry` of the deploy file.
pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

impl Entry {
    pub fn start(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .env_clear()
            .envs(
                std::env::vars()
                    .filter(|(name, _)| ["PATH", "HOME", "LANG"].contains(&name.as_str())),
            )
            .env("CHICORYGAUGE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The deployment.
pub struct Deployment {
    pub store: Store,
    pub cloud: Cloud,
    pub record: Record,
    pub entries: Vec<Entry>,
    _servers: Vec<Server>,
}

/// Returns a number of free ports of an address.
fn free_ports(ip: [u8; 4], count: usize) -> std::io::Result<Vec<u16>> {
    let listeners: std::io::Result<Vec<TcpListener>> = (0..count)
        .map(|_| TcpListener::bind((std::net::Ipv4Addr::from(ip), 0)))
        .collect();
    let listeners = listeners?;
    listeners
        .iter()
        .map(|listener| Ok(listener.local_addr()?.port()))
        .collect()
}

impl Deployment {
    /// Starts the stand-ins and `count` daemons; `services` are pools with their workers, the
    /// last one is the spare pool.
    pub fn start(
        program: &Path,
        folder: &Path,
        record: &Record,
        count: u8,
        services: &[(&str, usize)],
        prepare: impl FnOnce(&Store),
    ) -> std::io::Result<Deployment> {
        let local: SocketAddr = ([127, 0, 0, 1], 0).into();
        let store = Store::default();
        let store_server = store.start(local)?;
        let cloud = Cloud::new(&store, record);
        let cloud_server = cloud.start()?;
        for (service, workers) in services {
            for number in 0..*workers {
                let settings = WorkerSettings {
                    service: (*service).to_owned(),
                    zone: "cairo-a".to_owned(),
                    labels: vec!["a".to_owned(), format!("r1-{}", number / 4)],
                    cpu: 32_000,
                    memory_mb: 131_072,
                    gpu: 0,
                    hold_max_ms: 10_000,
                    heartbeat_ms: 1500,
                };
                cloud.bring_up(&format!("m-{service}-{number:02}"), &settings);
            }
        }
        prepare(&store);
        let mut nodes = Vec::new();
        for number in 0..count {
            let ip = [127, 0, 1, number + 1];
            nodes.push((ip, free_ports(ip, 4)?));
        }
        let seeds = nodes
            .iter()
            .map(|(ip, ports)| SocketAddr::from((*ip, ports[2])).to_string());
        let seeds = seeds.take(3).collect::<Vec<_>>().join(",");
        let mut entries = Vec::new();
        for (number, (ip, ports)) in nodes.iter().enumerate() {
            let name = format!("frontend-cairo-a-{}", number + 1);
            let address = |at: usize| SocketAddr::from((*ip, ports[at]));
            let settings = folder.join(format!("{name}.conf"));
            let text = SETTINGS
                .replace("NODE_NAME", &name)
                .replace("NODE_IP", &address(0).ip().to_string())
                .replace("FRONT_ADDRESS", &address(0).to_string())
                .replace("READY_ADDRESS", &address(1).to_string())
                .replace("CONTROL_ADDRESS", &address(2).to_string())
                .replace("METRICS_PORT", &ports[3].to_string())
                .replace("SEED_NODES", &seeds)
                .replace("STORE_ADDRESS", &store_server.address.to_string())
                .replace("CLOUD_ADDRESS", &cloud_server.address.to_string());
            File::create(&settings)?.write_all(text.as_bytes())?;
            let mut entry = Entry {
                name: name.clone(),
                front: address(0),
                ready: address(1),
                settings,
                log: folder.join(format!("{name}.log")),
                program: program.to_owned(),
                child: None,
            };
            entry.start()?;
            entries.push(entry);
        }
        Ok(Deployment {
            store,
            cloud,
            record: record.clone(),
            entries,
            _servers: vec![store_server, cloud_server],
        })
    }

    /// Waits until all daemons say that they are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let is_ready = |entry: &Entry| {
            let answer = call(
                entry.ready,
                "GET",
                "/readyz",
                &[],
                "",
                Duration::from_millis(500),
            );
            answer.is_some_and(|(status, _)| status == 200)
        };
        while Instant::now() < until {
            if self.entries.iter().all(is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Calls the front of a daemon as a client does; 0 for no answer.
    pub fn ask(&self, at: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        let headers = [
            ("Host", HOST),
            ("Content-Type", "application/json"),
            ("X-Deadline-Ms", "3000"),
        ];
        let entry = &self.entries[at % self.entries.len()];
        let answer = call(entry.front, method, path, &headers, body, LIMIT).unwrap_or_default();
        self.record.write(&format!(
            "client {method} {path} at={} status={} {}",
            entry.name, answer.0, answer.1
        ));
        answer
    }

    /// Submits a job with an id of its own until it is accepted; false if it is not.
    pub fn submit(&self, path: &str, body: &str) -> bool {
        (0..8).any(|attempt| {
            let (status, _) = self.ask(attempt, "POST", path, body);
            if status != 200 {
                thread::sleep(Duration::from_millis(500));
            }
            status == 200
        })
    }

    /// Returns the state of a job as a client sees it; the status where there is none.
    pub fn state(&self, at: usize, path: &str) -> String {
        let (status, body) = self.ask(at, "GET", path, "");
        let body = Json::parse(&body).unwrap_or(Json::Null);
        match body.get("state").text() {
            "" => status.to_string(),
            state => state.to_owned(),
        }
    }
}

/// Settings of a process, as those of nilebench-prod.
const SETTINGS: &str = "nodeName=NODE_NAME
role=entry
machineClass=frontend
serves=frontend,control
ip=NODE_IP
zone=cairo-a
region=egypt-north
zones.cairo-a=egypt-north
listenAddrs.front=FRONT_ADDRESS
listenAddrs.ready=READY_ADDRESS
listenAddrs.controlPlane=CONTROL_ADDRESS
portRange=METRICS_PORT,METRICS_PORT
seedNodes=SEED_NODES
bootstrapEnabled=true
lossCounts=false
limits.cpuShare=0.25
limits.cpuCores=1
limits.memoryMb=260
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entryPoint=vip
heartbeatMs=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
faultTolerance.machines=2
faultTolerance.zones=1
faultTolerance.regions=0
bounds.seedLagS=3
bounds.addrReuseS=2
bounds.contactMs=3000
bounds.ackTimeoutMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.maxStretchMs=5000
bounds.recoveryS=12
bounds.holdMaxMs=10000
bounds.stopTimeoutMs=200
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remoteFactor=2
bounds.checkpointIntervalS=0.5
bounds.restoreMs=250
bounds.noticeMs=4500
bounds.migrationS=1.5
bounds.maintenanceS=2
bounds.fencingEnforced=false
bounds.leaseMs=3000
bounds.thawSlackMs=300
bounds.pacingMs=100
bounds.impactMs=4000
controlMode=invocation
platform.address=STORE_ADDRESS
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
cloudApi.address=CLOUD_ADDRESS
cloudApi.ratePerS=64.0
cloudApi.duties=
cloudApi.dutyPerS=64.0
";

/// Returns a route of the configuration.
pub fn route(name: &str, prefix: &str, service: &str, max_attempts: u64) -> Json {
    table([
        ("name", name.into()),
        ("host", HOST.into()),
        ("prefix", prefix.into()),
        ("kind", "non_idempotent".into()),
        ("timeoutMs", 3000.into()),
        ("targetDurationMs", 600.into()),
        ("priority", 0.into()),
        ("service", service.into()),
        ("maxAttempts", max_attempts.into()),
        ("slackFactor", Json::Number(1.6)),
    ])
}

/// Returns a configuration with these routes, one service and the spare pool.
pub fn config(version: u64, routes: Vec<Json>) -> Json {
    let service = |name: &str, standby: bool| {
        table([
            ("name", name.into()),
            ("healthPath", "/healthz".into()),
            ("maxConns", 64.into()),
            ("protocol", "h1".into()),
            ("tlsEnabled", false.into()),
            ("rejectsOverload", true.into()),
            ("standby", standby.into()),
        ])
    };
    table([
        ("version", version.into()),
        ("routes", routes.into()),
        (
            "services",
            vec![service(SERVICE, false), service(SPARE, true)].into(),
        ),
        (
            "limits",
            table([
                ("maxHeaderBytes", 16_384.into()),
                ("maxBodyBytes", 262_144.into()),
                ("headerTimeoutMs", 3000.into()),
                ("idleTimeoutMs", 15_000.into()),
            ]),
        ),
    ])
}

/// Returns a job of one step: what its workers do with it, and the step.
pub fn job(spec: &Json, step: Json) -> String {
    let text = spec.to_string();
    table([("spec", text.into()), ("steps", vec![step].into())]).to_string()
}
