//! A worker is lost for good; after that, a gang that is faster on one rack fits on no rack.

use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use serde_json::json;

use crate::CaseResult;
use crate::cluster::CaseCluster;
use crate::cluster::CaseQueue;
use crate::record::CaseRecord;
use crate::worker::WORKER_CPU;

const OTHER: &str = "/routes/5c0e7a21d94b0000";
const SPREAD: &str = "/orders/5c0e7a21d94b0003";
const LASTING: &str = "/orders/5c0e7a21d94b0001";
const LASTING_ID: &str = "5c0e7a21d94b0001";
const GANG: &str = "5c0e7a21d94b0002";
const WORKERS: usize = 9;
const LASTING_CPU: u64 = 30_000;
const SPREAD_CPU: u64 = 1000;
const MEMBERS: u64 = 4;
const MEMBER_CPU: u64 = 20_000;
/// Time for which the gang is watched; `bounds.finish_s` is 14.
const WATCHED: Duration = Duration::from_secs(30);

pub async fn play(record: &CaseRecord, trouble: bool) -> CaseResult {
    let machines = [("orders", WORKERS), ("routes", 8), ("spare", 2)];
    let Some(cluster) = CaseCluster::start(record, 3, &machines).await else {
        return CaseResult::Unusable("the deployment did not start".to_owned());
    };
    let queues = ["orders", "routes"].map(|service| CaseQueue {
        name: service.to_owned(),
        service,
        max_attempts: 4,
    });
    cluster.configure(1, &queues);
    if !cluster.wait_ready().await {
        return CaseResult::Unusable("the machines were not ready".to_owned());
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    // Both services are in use, so that their machines stay there.
    for (path, count, cpu) in [
        (OTHER, 8, LASTING_CPU),
        (SPREAD, 8, SPREAD_CPU),
        (LASTING, 1, LASTING_CPU),
    ] {
        let plan = json!({"work_ms": 100, "cpu": cpu, "lasting": true}).to_string();
        let step = json!({
            "count": count, "cpu": cpu, "memoryReqMb": 1800, "estimateMs": 100,
            "longRunning": true, "antiAffinity": 1,
        });
        let body = json!({"spec": plan, "steps": [step]}).to_string();
        let accepted = cluster.client(0, Method::POST, path, &body).await;
        if !accepted.is_some_and(|(status, _)| status == 200) {
            return CaseResult::Unusable("a long-running job was not accepted".to_owned());
        }
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let Some(busy) = cluster.platform.machine_of(LASTING_ID) else {
        return CaseResult::Unusable("the long-running job does not run".to_owned());
    };
    if trouble {
        // The other rack with four machines of the service.
        let names = (0..WORKERS - 1).map(|number| format!("m-orders-{number}"));
        let busy_rack = cluster.platform.rack_of(&busy);
        let mut others = names.filter(|name| cluster.platform.rack_of(name) != busy_rack);
        let Some(lost) = others.next() else {
            return CaseResult::Unusable("there is no other rack".to_owned());
        };
        cluster.platform.lose_worker(&lost).await;
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    let plan = json!({"work_ms": 1000, "cpu": MEMBER_CPU, "gang": MEMBERS}).to_string();
    let step = json!({
        "count": MEMBERS, "cpu": MEMBER_CPU, "memoryReqMb": 1800, "estimateMs": 1000,
        "gangScheduled": true, "rackLocal": true,
    });
    let body = json!({"spec": plan, "steps": [step]}).to_string();
    let path = format!("/orders/{GANG}");
    let accepted = cluster.client(0, Method::POST, &path, &body).await;
    if !accepted.is_some_and(|(status, _)| status == 200) {
        return CaseResult::Unusable("the gang was not accepted".to_owned());
    }
    let deadline = Instant::now() + WATCHED;
    loop {
        let state = cluster.state_of(1, &path).await.unwrap_or_default();
        if state == "completed" {
            return CaseResult::Held("the gang is shown as completed".to_owned());
        }
        if Instant::now() > deadline {
            let starts = record.runs_of(GANG).len();
            let capacity = (WORKERS as u64 - u64::from(trouble)) * WORKER_CPU;
            let seen = format!(
                "{starts} starts of the gang in {} s, it is shown as {state}; it needs {} \
                 millicores, {} of the service's {capacity} are free",
                WATCHED.as_secs(),
                MEMBERS * MEMBER_CPU,
                capacity - LASTING_CPU - 8 * SPREAD_CPU,
            );
            return if starts == 0 {
                CaseResult::Broken(format!("LOST: {seen}"))
            } else {
                CaseResult::Unusable(seen)
            };
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}
