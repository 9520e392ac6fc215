//! A queue is added while the platform's store turns the leader away, and the first run of the
//! first job there fails once.

use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use serde_json::json;
use standin::relay::LinkState;

use crate::CaseResult;
use crate::cluster::CaseCluster;
use crate::cluster::CaseQueue;
use crate::record::CaseRecord;

const MAX_ATTEMPTS: u32 = 4;
/// Number of queues that are added, one after the other.
const ADDED: u64 = 6;

pub async fn play(record: &CaseRecord, trouble: bool) -> CaseResult {
    let machines = [("orders", 9), ("routes", 8), ("spare", 2)];
    let Some(cluster) = CaseCluster::start(record, 3, &machines).await else {
        return CaseResult::Unusable("the deployment did not start".to_owned());
    };
    let queue = |number: u64| CaseQueue {
        name: format!("orders{number}"),
        service: "orders",
        max_attempts: MAX_ATTEMPTS,
    };
    let mut queues = vec![queue(0)];
    cluster.configure(10, &queues);
    if !cluster.wait_ready().await {
        return CaseResult::Unusable("the machines were not ready".to_owned());
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let Some(leader) = cluster.leader() else {
        return CaseResult::Unusable("no machine leads".to_owned());
    };
    let other = (leader + 1) % cluster.nodes.len();
    if trouble {
        let name = &cluster.nodes[leader].name;
        record.line(&format!(
            "disruption: the store no longer answers {name}, the leader"
        ));
        cluster.nodes[leader].store_link.set(LinkState::Blackhole);
        tokio::time::sleep(Duration::from_millis(1500)).await;
    }
    for number in 1..=ADDED {
        queues.push(queue(number));
        cluster.configure(10 + number * 3, &queues);
        let prefix = format!("/orders{number}/");
        let deadline = Instant::now() + Duration::from_secs(5);
        while !cluster
            .client(other, Method::GET, &prefix, "")
            .await
            .is_some_and(|(status, _)| status == 200)
        {
            if Instant::now() > deadline {
                return CaseResult::Unusable("the added queue is not known".to_owned());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let job = format!("{:016x}", 0x5c0e_7a21_0000_0000_u64 + number);
        let plan = json!({"work_ms": 40, "cpu": 1800, "failing_runs": 1}).to_string();
        let step = json!({"count": 1, "cpu": 1800, "memoryReqMb": 1800, "estimateMs": 40});
        let body = json!({"spec": plan, "steps": [step]}).to_string();
        let path = format!("{prefix}{job}");
        let accepted = cluster.client(other, Method::POST, &path, &body).await;
        if !accepted.is_some_and(|(status, _)| status == 200) {
            record.line("the job was not accepted");
            continue;
        }
        let deadline = Instant::now() + Duration::from_secs(10);
        loop {
            let state = cluster.state_of(other, &path).await.unwrap_or_default();
            if state == "completed" {
                break;
            }
            let runs = record.runs_of(&job);
            let failed = runs
                .iter()
                .filter(|run| run.end.is_some_and(|(_, how)| how == "failed"));
            let failed = failed.count() as u32;
            if state == "failed" && failed < MAX_ATTEMPTS {
                return CaseResult::Broken(format!(
                    "LOST: the job is shown as failed after {failed} run that ended `failed`; \
                     every version that has its queue says maxAttempts {MAX_ATTEMPTS}"
                ));
            }
            if Instant::now() > deadline {
                return CaseResult::Unusable(format!("the job is shown as {state:?}"));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        tokio::time::sleep(Duration::from_millis(130)).await;
    }
    CaseResult::Held(format!("all {ADDED} jobs are shown as completed"))
}
