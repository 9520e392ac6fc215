//! Configuration versions in several data centres, one of which loses its connection
//! to the platform and regains it.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use standin::relay;
use standin::relay::LinkState;
use tokio::time::Instant;
use tokio::time::sleep;

use support::DaemonPlan;
use support::DaemonProcess;

/// Starts the entry VMs of one data centre, which have no peers in other data centres.
fn start_dc(dc: &str, platform: std::net::SocketAddr) -> Vec<DaemonProcess> {
    let plans = ["1", "2"].map(|entry| DaemonPlan::new(&format!("{dc}-e-{entry}"), dc));
    let daemons = plans
        .iter()
        .map(|plan| DaemonProcess::start(plan, &plans, platform));
    daemons.collect()
}

async fn version(control: std::net::SocketAddr) -> Option<u64> {
    let status = support::get(control, "/v1/status").await?;
    status["config_version"].as_u64()
}

/// Waits until a version is in force at all entry VMs, and returns the time waited.
async fn wait_in_force(daemons: &[&DaemonProcess], expected: u64) -> Duration {
    let started = Instant::now();
    for daemon in daemons {
        support::eventually("version in force", || async {
            version(daemon.control).await == Some(expected)
        })
        .await;
    }
    started.elapsed()
}

async fn accept(daemon: &DaemonProcess, base: u64) {
    let patch: Value = json!({"weights": {"moves": base + 1}});
    support::eventually("patch accepted", || async {
        let answer = support::patch(daemon.control, base, patch.clone()).await;
        answer.is_some_and(|(status, _)| status == 200)
    })
    .await;
}

/// Polls the version in force at each entry VM until `ended`; fails if one decreases.
async fn watch_versions(controls: Vec<std::net::SocketAddr>, ended: Arc<AtomicBool>) {
    let mut highest: BTreeMap<_, u64> = BTreeMap::new();
    while !ended.load(Ordering::Relaxed) {
        for control in &controls {
            let Some(version) = version(*control).await else {
                continue;
            };
            let known = highest.entry(*control).or_default();
            assert!(
                version >= *known,
                "{control} went from {known} to {version}"
            );
            *known = version;
        }
        sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn versions_cut_off() {
    let platform = support::start_platform().await;
    let address = platform.server.address;
    let listen = ([127, 0, 0, 1], 0).into();
    let link = relay::start(listen, address, Duration::ZERO)
        .await
        .expect("link");
    let direct: Vec<_> = ["dc-1", "dc-2"]
        .iter()
        .flat_map(|dc| start_dc(dc, address))
        .collect();
    let relayed = start_dc("dc-3", link.address);
    let all: Vec<_> = direct.iter().chain(&relayed).collect();
    let ended = Arc::new(AtomicBool::new(false));
    let controls = all.iter().map(|daemon| daemon.control).collect();
    let watch = tokio::spawn(watch_versions(controls, ended.clone()));

    accept(&direct[0], 0).await;
    wait_in_force(&all, 1).await;
    accept(&direct[0], 1).await;
    let in_force_time = wait_in_force(&all, 2).await;
    let direct_daemons: Vec<_> = direct.iter().collect();
    for (current, state) in (2..).zip([LinkState::Cut, LinkState::Stalled]) {
        link.set(state);
        accept(&direct[1], current).await;
        wait_in_force(&direct_daemons, current + 1).await;
        for daemon in &relayed {
            assert_eq!(version(daemon.control).await, Some(current));
        }
        let patch = json!({"weights": {"moves": 0}});
        let answer = support::patch(relayed[0].control, current, patch).await;
        assert_ne!(answer.map(|(status, _)| status), Some(200));
        link.set(LinkState::Up);
        let healed = wait_in_force(&all, current + 1).await;
        println!("state={state:?} healed_ms={}", healed.as_millis());
    }
    println!("entries=6 in_force_ms={}", in_force_time.as_millis());
    ended.store(true, Ordering::Relaxed);
    watch.await.expect("no version went back");
}
