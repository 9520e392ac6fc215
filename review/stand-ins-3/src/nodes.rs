//! The project's daemons, each a process of its own, with settings like those of a small
//! deployment.

use std::fs;
use std::fs::File;
use std::io;
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

use crate::http;

/// Addresses of the platform's services.
#[derive(Clone, Copy)]
pub struct Platform {
    pub store: SocketAddr,
    pub list: SocketAddr,
    pub advice: SocketAddr,
}

/// A daemon; dropping it ends the process.
pub struct Node {
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Drop for Node {
    fn drop(&mut self) {
        // Both fail only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let listeners: io::Result<Vec<_>> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect();
    listeners?.iter().map(TcpListener::local_addr).collect()
}

/// Starts the daemons and waits until all of them are ready.
pub fn start(
    program: &Path,
    folder: &Path,
    count: usize,
    platform: Platform,
) -> io::Result<Vec<Node>> {
    let addresses = free_addresses(count * 4)?;
    let seeds: Vec<String> = addresses
        .chunks(4)
        .map(|own| own[2].to_string())
        .take(3)
        .collect();
    let mut nodes = Vec::new();
    for (number, own) in addresses.chunks(4).enumerate() {
        let text = settings(number, own, &seeds.join(","), platform);
        let path: PathBuf = folder.join(format!("node-{number}.conf"));
        fs::write(&path, text)?;
        let log = folder.join(format!("node-{number}.log"));
        let child = Command::new(program)
            .env_clear()
            .env("CHICORYGAUGE_CONFIG", &path)
            .stdout(File::create(&log)?)
            .stderr(Stdio::null())
            .spawn()?;
        nodes.push(Node {
            front: own[0],
            ready: own[1],
            child,
        });
    }
    let deadline = Instant::now() + Duration::from_secs(15);
    while !nodes.iter().all(Node::is_ready) {
        if Instant::now() > deadline {
            return Err(io::Error::other("the daemons do not get ready"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(nodes)
}

impl Node {
    fn is_ready(&self) -> bool {
        let limit = Duration::from_secs(1);
        let answer = http::call(self.ready, "GET", "ready", "/readyz", "", limit);
        answer.is_ok_and(|(status, _)| status == 200)
    }
}

fn settings(number: usize, own: &[SocketAddr], seeds: &str, platform: Platform) -> String {
    let (front, ready, control) = (own[0], own[1], own[2]);
    let first = own[3].port();
    let Platform {
        store,
        list,
        advice,
    } = platform;
    format!(
        "nodeName=frontend-cairo-a-{number}
role=entry
machineClass=frontend
serves=frontend,control
ip=127.0.0.1
zone=cairo-a
region=egypt-north
zones.cairo-a=egypt-north
listenAddrs.front={front}
listenAddrs.ready={ready}
listenAddrs.controlPlane={control}
portRange={first},{first}
seedNodes={seeds}
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
bounds.contactMs=3000
bounds.ackTimeoutMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.configApplyMs=2000
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
bounds.pacingMs=100
bounds.impactMs=4000
controlMode=invocation
advice={advice}
platform.address={store}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
cloudApi.address={list}
cloudApi.ratePerS=64.0
cloudApi.duties=
cloudApi.dutyPerS=64.0
"
    )
}
