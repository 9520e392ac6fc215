//! Platform outages, disconnected data centres, and processes that start meanwhile.
//!
//! Guards against requests served on an untrusted state, changes that never reach a
//! reconnected data centre, and a burst of platform calls after an outage.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use standin::call;
use standin::platform::PlatformFaults;
use standin::platform::RunningPlatform;
use standin::relay;
use standin::relay::LinkState;
use standin::relay::RunningRelay;
use tokio::time::sleep;

use support::DaemonPlan;
use support::DaemonProcess;
use support::cluster;
use support::cluster::SharingDc;

const VMS: [&str; 2] = ["vm-1", "vm-2"];
/// Number of data centres that share the platform's call limits.
const DATA_CENTRES: u64 = 24;
/// Reads that the platform accepts in ten seconds from all data centres.
const PLATFORM_READS: u64 = 20_000;
/// Writes that the platform accepts in ten seconds from all data centres.
const PLATFORM_WRITES: u64 = 3_000;

fn set_down(platform: &RunningPlatform, down: bool) {
    platform.state.set_faults(PlatformFaults {
        down,
        ..PlatformFaults::default()
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn fresh_start_from_peer() {
    let SharingDc {
        platform,
        backends,
        plans,
        mut daemons,
    } = cluster::start_sharing_dc(&VMS, 3, 2).await;
    set_down(&platform, true);
    // The leases expire.
    sleep(Duration::from_secs(3)).await;
    let fresh = DaemonProcess::start(&plans[2], &plans, platform.server.address);
    cluster::wait_for_status("state of a peer", &fresh, |status| {
        status["config_version"] == 1 && status["vms"] == 2 && status["stale_ms"].is_u64()
    })
    .await;
    let status = fresh.get("/v1/status").await.expect("status");
    assert_eq!(status["sharing"], 0, "{status}");
    let load = cluster::load(std::slice::from_ref(&fresh), 50.0, Duration::from_secs(1));
    let load = call::LoadSettings {
        prefix: "fresh".to_owned(),
        ..load
    };
    let summary = cluster::compare(&call::run(load).await, &backends);
    assert_eq!(summary.not_run, summary.sent, "{summary}");
    // The other entry VMs continue to serve.
    let load = call::LoadSettings {
        resends: support::MAX_RESENDS,
        ..cluster::load(&daemons, 100.0, Duration::from_secs(1))
    };
    let summary = cluster::compare(&call::run(load).await, &backends);
    assert_eq!(summary.answered, summary.sent, "{summary}");
    set_down(&platform, false);
    daemons.push(fresh);
    cluster::wait_until_sharing(&daemons, 3, 2).await;
    cluster::wait_for_status("fresh state", &daemons[2], |status| {
        status["stale_ms"].is_null()
    })
    .await;
    assert_eq!(cluster::over_slots(&backends), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn fresh_start_alone() {
    let platform = support::start_platform().await;
    set_down(&platform, true);
    let plans = cluster::plans("dc", 2);
    let daemons = cluster::start(&plans, 2, &platform);
    for daemon in &daemons {
        cluster::wait_for_status("status", daemon, |status| status["trusted"] == false).await;
    }
    let load = cluster::load(&daemons, 50.0, Duration::from_secs(2));
    let summary = cluster::compare(&call::run(load).await, &[]);
    assert_eq!(summary.not_run, summary.sent, "{summary}");
    let status = daemons[0].get("/v1/status").await.expect("status");
    assert_eq!(status["trusted"], false, "{status}");
    set_down(&platform, false);
    cluster::patch(&daemons[0], 0, json!({"pools": {}})).await;
    cluster::wait_until_sharing(&daemons, 2, 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_return_no_stampede() {
    let SharingDc {
        platform,
        backends: _backends,
        plans: _,
        daemons,
    } = cluster::start_sharing_dc(&VMS, 3, 3).await;
    set_down(&platform, true);
    sleep(Duration::from_secs(8)).await;
    set_down(&platform, false);
    let before = platform.state.counts();
    sleep(Duration::from_secs(10)).await;
    let after = platform.state.counts();
    let calls = after.iter().map(|(kind, count)| {
        let count = count - before.get(kind).copied().unwrap_or(0);
        (kind.as_str(), count)
    });
    let calls: Vec<_> = calls.filter(|(_, count)| *count > 0).collect();
    println!("calls in ten seconds after the outage: {calls:?}");
    let (writes, reads): (Vec<_>, Vec<_>) =
        calls.iter().partition(|(kind, _)| kind.ends_with("write"));
    let sum = |calls: Vec<(&str, u64)>| calls.iter().map(|(_, count)| count).sum::<u64>();
    assert!(sum(writes) <= PLATFORM_WRITES / DATA_CENTRES, "{calls:?}");
    assert!(sum(reads) <= PLATFORM_READS / DATA_CENTRES, "{calls:?}");
    cluster::wait_until_sharing(&daemons, 3, 2).await;
}

/// A data centre whose links to the platform and to the others can be cut.
struct LinkedDc {
    daemons: Vec<DaemonProcess>,
    links: Vec<RunningRelay>,
}

async fn link(target: SocketAddr) -> RunningRelay {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let link = relay::start(listen, target, Duration::ZERO).await;
    link.expect("relay")
}

/// Starts a data centre that reaches the platform and the other data centre via links.
async fn start_linked_dc(
    plans: &[DaemonPlan],
    others: &[DaemonPlan],
    platform: &RunningPlatform,
) -> LinkedDc {
    let mut links = vec![link(platform.server.address).await];
    let platform = links[0].address;
    let mut peers = plans.to_vec();
    for other in others {
        let link = link(other.control).await;
        peers.push(DaemonPlan {
            control: link.address,
            ..other.clone()
        });
        links.push(link);
    }
    let daemons = plans
        .iter()
        .map(|plan| DaemonProcess::start(plan, &peers, platform));
    LinkedDc {
        daemons: daemons.collect(),
        links,
    }
}

impl LinkedDc {
    fn set_links(&self, state: LinkState) {
        for link in &self.links {
            link.set(state);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn data_centre_cut_off_and_healed() {
    let platform = support::start_platform().await;
    let near_backends = support::start_backends(&platform, "near", &["vm-1"]).await;
    let far_backends = support::start_backends(&platform, "far", &["vm-2"]).await;
    let (near_plans, far_plans) = (cluster::plans("near", 2), cluster::plans("far", 2));
    let near = start_linked_dc(&near_plans, &far_plans, &platform).await;
    let far = start_linked_dc(&far_plans, &near_plans, &platform).await;
    cluster::patch(&near.daemons[0], 0, cluster::one_pool(&VMS)).await;
    for dc in [&near, &far] {
        cluster::wait_until_sharing(&dc.daemons, 2, 1).await;
        cluster::wait_for_status("other data centre", &dc.daemons[0], |status| {
            status["data_centres"][0]["entries"] == 2
        })
        .await;
    }
    far.set_links(LinkState::Cut);
    for link in &near.links[1..] {
        link.set(LinkState::Cut);
    }
    cluster::patch(
        &near.daemons[0],
        1,
        json!({"pools": {"intake": {"budget": 2}}}),
    )
    .await;
    // Longer than the lease TTL, the time until a push is overdue and the delay with
    // which the platform's list of VMs is updated.
    sleep(Duration::from_secs(4)).await;
    let load = call::LoadSettings {
        resends: support::MAX_RESENDS,
        ..cluster::load(&far.daemons, 40.0, Duration::from_secs(2))
    };
    let record = call::run(load).await;
    let backends = [near_backends, far_backends]
        .into_iter()
        .flatten()
        .collect::<Vec<_>>();
    let summary = cluster::compare(&record, &backends);
    assert_eq!(summary.answered, summary.sent, "{summary}");
    for daemon in &far.daemons {
        let status = daemon.get("/v1/status").await.expect("status");
        assert_eq!(status["config_version"], 1, "{status}");
        assert_eq!(status["sharing"], 2, "{status}");
    }
    far.set_links(LinkState::Up);
    near.set_links(LinkState::Up);
    for daemon in near.daemons.iter().chain(&far.daemons) {
        cluster::wait_for_status("version", daemon, |status| status["config_version"] == 2).await;
    }
    cluster::wait_until_sharing(&far.daemons, 2, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_away_version_from_far_peer() {
    let platform = support::start_platform().await;
    let (near_plans, far_plans) = (cluster::plans("near", 1), cluster::plans("far", 1));
    let near = start_linked_dc(&near_plans, &far_plans, &platform).await;
    let far = start_linked_dc(&far_plans, &near_plans, &platform).await;
    cluster::patch(&near.daemons[0], 0, json!({"pools": {}})).await;
    cluster::wait_for_status("version", &far.daemons[0], |status| {
        status["config_version"] == 1
    })
    .await;
    // Only the link to the platform is cut.
    far.links[0].set(LinkState::Cut);
    cluster::patch(
        &near.daemons[0],
        1,
        json!({"maintenance": {"drain_limit_s": 60}}),
    )
    .await;
    cluster::wait_for_status("version", &far.daemons[0], |status| {
        status["config_version"] == 2
    })
    .await;
}
