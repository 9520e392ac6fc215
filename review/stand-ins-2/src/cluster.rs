//! Processes of the system with the stand-ins around them.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use chicorygauge::http::CallError;
use chicorygauge::http::CallRequest;
use chicorygauge::http::call;
use hyper::Method;
use serde_json::Value;
use serde_json::json;
use standin::relay;
use standin::relay::RunningRelay;
use standin::server;
use standin::server::RunningServer;

use crate::harness::HOST;
use crate::harness::store::FakeStore;
use crate::platform::CasePlatform;
use crate::platform::always_open;
use crate::platform::local;
use crate::record::CaseRecord;

/// Number of machines on a rack.
const MACHINES_PER_RACK: usize = 4;

const FRONT_PORT: u16 = 8624;
const READY_PORT: u16 = 8622;
const CONTROL_PORT: u16 = 8623;

/// Processes that are still to be ended when the case ends, however it ends.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that the case has started.
pub fn end_processes() {
    let Ok(mut children) = CHILDREN.lock() else {
        return;
    };
    for child in children.iter_mut() {
        // Both fail only if the process has ended already.
        let _ = child.kill();
        let _ = child.wait();
    }
    children.clear();
}

/// A machine of the system.
pub struct CaseNode {
    pub name: String,
    pub ip: [u8; 4],
    /// Link to the platform's store.
    pub store_link: RunningRelay,
}

impl CaseNode {
    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT_PORT).into()
    }
}

/// A queue of the configuration.
#[derive(Clone, Debug)]
pub struct CaseQueue {
    pub name: String,
    pub service: &'static str,
    pub max_attempts: u32,
}

/// A deployment.
pub struct CaseCluster {
    pub store: FakeStore,
    pub platform: CasePlatform,
    pub nodes: Vec<CaseNode>,
    pub record: CaseRecord,
    dir: PathBuf,
    _servers: Vec<RunningServer>,
}

impl Drop for CaseCluster {
    fn drop(&mut self) {
        // What cannot be removed stays in the temporary folder.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Result of a client's call: its status and body; none if it got no complete answer.
pub type ClientAnswer = Option<(u16, Value)>;

impl CaseCluster {
    /// Starts the stand-ins and `nodes` machines of the system, and waits until these are ready
    /// and one of them leads.
    pub async fn start(record: &CaseRecord, nodes: u8, machines: &[(&str, usize)]) -> Option<Self> {
        let store = FakeStore::new(1);
        let platform = CasePlatform::new(store.clone(), record.clone());
        let (store_handler, platform_handler) = (store.clone(), platform.clone());
        let store_server = server::start(local(), always_open(), move |request| {
            store_handler.clone().handle(request)
        });
        let store_server = store_server.await.ok()?;
        let platform_server = server::start(local(), always_open(), move |request| {
            platform_handler.clone().handle(request)
        });
        let platform_server = platform_server.await.ok()?;
        for (pool, count) in machines {
            for number in 0..*count {
                let rack = format!("{pool}-rack-{}", number / MACHINES_PER_RACK);
                let machine = format!("m-{pool}-{number}");
                platform.add_machine(&machine, pool, &rack).await;
            }
        }
        let dir = std::env::temp_dir().join(format!("chicory-case-{}", std::process::id()));
        std::fs::create_dir_all(&dir).ok()?;
        let mut cluster = Self {
            store,
            platform,
            nodes: Vec::new(),
            record: record.clone(),
            dir,
            _servers: vec![store_server, platform_server],
        };
        let network = free_network(nodes)?;
        for number in 0..nodes {
            cluster.add_node(number, network, nodes).await?;
        }
        Some(cluster)
    }

    async fn add_node(&mut self, number: u8, network: [u8; 3], nodes: u8) -> Option<()> {
        let store_link = relay::start(local(), self._servers[0].address, Duration::ZERO);
        let store_link = store_link.await.ok()?;
        let ip_of = |number: u8| [network[0], network[1], network[2], number + 1];
        let ip = ip_of(number);
        let name = format!("frontend-a-{}", number + 1);
        let at = |ip: [u8; 4], port: u16| SocketAddr::from((ip, port));
        let seeds = (0..nodes.min(3)).map(|seed| at(ip_of(seed), CONTROL_PORT).to_string());
        let seeds: Vec<String> = seeds.collect();
        let settings = format!(
            "nodeName={name}\nrole=entry\nmachineClass=frontend\nserves=frontend,control\nip={}\n\
             zone=a\nregion=r\nzones.a=r\nlistenAddrs.front={}\nlistenAddrs.ready={}\n\
             listenAddrs.controlPlane={}\nseedNodes={}\nbootstrapEnabled=true\n\
             limits.cpuShare=0.25\nlimits.cpuCores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n\
             discovery=platform\nentryPoint=vip\nheartbeatMs=1500\n\
             contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\n\
             bounds.contactMs=3000\nbounds.ackTimeoutMs=4000\nbounds.drainMs=2000\nbounds.graceS=6\n\
             bounds.configApplyMs=2000\nbounds.recoveryS=12\nbounds.holdMaxMs=10000\n\
             bounds.stopTimeoutMs=200\nbounds.gangTimeoutMs=3000\nbounds.cancel_ms=3000\n\
             bounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\n\
             bounds.remoteFactor=2\nbounds.checkpointIntervalS=0.5\nbounds.restoreMs=250\n\
             bounds.noticeMs=4500\nbounds.migrationS=1.5\nbounds.maintenanceS=2\n\
             bounds.fencingEnforced=false\nbounds.leaseMs=3000\nbounds.pacingMs=100\n\
             bounds.impactMs=4000\ncontrolMode=invocation\nplatform.address={}\nplatform.form=kv\n\
             platform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\n\
             platform.valueBytes=1048576\nplatform.ttlMinMs=1000\ncloudApi.address={}\n\
             cloudApi.ratePerS=64.0\ncloudApi.dutyPerS=64.0\n",
            std::net::Ipv4Addr::from(ip),
            at(ip, FRONT_PORT),
            at(ip, READY_PORT),
            at(ip, CONTROL_PORT),
            seeds.join(","),
            store_link.address,
            self._servers[1].address,
        );
        std::fs::write(self.dir.join(format!("{name}.conf")), settings).ok()?;
        let node = CaseNode {
            name,
            ip,
            store_link,
        };
        self.start_process(&node)?;
        self.nodes.push(node);
        Some(())
    }

    /// Starts the process of a machine with the command of the deploy file.
    fn start_process(&self, node: &CaseNode) -> Option<()> {
        let mut options = File::options();
        let log = options.create(true).append(true);
        let log = log.open(self.dir.join(format!("{}.log", node.name))).ok()?;
        let child = Command::new("target/release/chicory-entry")
            .env(
                "CHICORYGAUGE_CONFIG",
                self.dir.join(format!("{}.conf", node.name)),
            )
            .env_remove("RUST_LOG")
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        let child = child.ok()?;
        CHILDREN.lock().ok()?.push(child);
        self.record.line(&format!("machine {} starts", node.name));
        Some(())
    }

    /// Writes a version of the configuration, as the operator does.
    pub fn configure(&self, version: u64, queues: &[CaseQueue]) {
        let routes = queues.iter().map(|queue| {
            json!({
                "name": queue.name, "host": HOST, "prefix": format!("/{}/", queue.name),
                "kind": "non_idempotent", "service": queue.service, "timeoutMs": 3000,
                "priority": 0, "maxAttempts": queue.max_attempts, "slackFactor": 2.0,
                "targetDurationMs": 2000,
            })
        });
        let services = ["orders", "routes", "spare"]
            .map(|pool| json!({"name": pool, "rejectsOverload": true, "standby": pool == "spare"}));
        let config = json!({
            "version": version, "routes": routes.collect::<Vec<_>>(), "services": services,
            "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000},
        });
        self.store.put("op/config", &config);
        self.record
            .line(&format!("operator: version {version} is acknowledged"));
    }

    /// Makes a client's call to a machine.
    pub async fn client(
        &self,
        node: usize,
        method: Method,
        path: &str,
        body: &str,
    ) -> ClientAnswer {
        let headers = [
            ("host", HOST.to_owned()),
            ("x-deadline-ms", "3000".to_owned()),
        ];
        let request = CallRequest {
            method: method.clone(),
            path,
            content_type: "application/json",
            headers: &headers,
            body: Bytes::from(body.to_owned()),
            limit: Duration::from_millis(3000),
        };
        let node = &self.nodes[node];
        let answer = call(node.front(), request).await;
        let text = match &answer {
            Ok(answer) => {
                let body = String::from_utf8_lossy(&answer.body);
                format!("{} {body}", answer.status.as_u16())
            }
            Err(CallError::Connect { .. }) => "no connection".to_owned(),
            Err(error) => format!("no answer: {error}"),
        };
        self.record.line(&format!(
            "client -> {}: {method} {path} {body} -> {text}",
            node.name
        ));
        let answer = answer.ok()?;
        let body = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
        Some((answer.status.as_u16(), body))
    }

    /// Returns the state of a job, as a client is shown it; none if it is not shown.
    pub async fn state_of(&self, node: usize, path: &str) -> Option<String> {
        let (status, body) = self.client(node, Method::GET, path, "").await?;
        (status == 200).then(|| body["state"].as_str().unwrap_or("").to_owned())
    }

    /// Waits until all machines are ready and one leads; false after 15 s.
    pub async fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(15);
        loop {
            let mut ready = 0;
            for node in &self.nodes {
                let request = CallRequest {
                    path: "/readyz",
                    ..CallRequest::default()
                };
                let answer = call((node.ip, READY_PORT).into(), request).await;
                ready += usize::from(answer.is_ok_and(|answer| answer.status.as_u16() == 200));
            }
            if ready == self.nodes.len() && self.leader().is_some() {
                return true;
            }
            if Instant::now() > deadline {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns the number of the machine that the owner's key in the store names.
    pub fn leader(&self) -> Option<usize> {
        let owner = self.store.owner_name()?;
        self.nodes.iter().position(|node| node.name == owner)
    }
}

/// Returns the first three bytes of loopback addresses of which the first `count` are free.
fn free_network(count: u8) -> Option<[u8; 3]> {
    let [low, high, ..] = std::process::id().to_le_bytes();
    (0..200u8).find_map(|attempt| {
        let network = [127, low.wrapping_add(attempt).max(1), high];
        let mut ips = (1..=count).map(|number| [network[0], network[1], network[2], number]);
        let is_free = |ip: [u8; 4]| {
            let ports = [FRONT_PORT, READY_PORT, CONTROL_PORT];
            ports
                .iter()
                .all(|port| TcpListener::bind((std::net::Ipv4Addr::from(ip), *port)).is_ok())
        };
        ips.all(is_free).then_some(network)
    })
}
