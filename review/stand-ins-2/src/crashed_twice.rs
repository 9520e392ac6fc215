//! Workers crash, each some time after it has started the same subtask, which never fails.
//!
//! Two jobs are played one after the other: the workers of the first one crash twice, at once
//! after the start; those of the second one lose power four times, each 0.6 s after it.

use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use serde_json::json;

use crate::CaseResult;
use crate::cluster::CaseCluster;
use crate::cluster::CaseQueue;
use crate::record::CaseRecord;

const MAX_ATTEMPTS: u32 = 4;
/// A job and what happens to its workers.
struct CrashPlan {
    job: &'static str,
    crashes: usize,
    /// Time from the start of a run to the crash of its worker.
    delay: Duration,
    /// Time until another life of a worker starts; one worker is down at a time.
    down: Duration,
    /// Whether the workers lose power, so that channels to them hang.
    dark: bool,
}

const PLANS: [CrashPlan; 2] = [
    CrashPlan {
        job: "5c0e7a21d94b36f8",
        crashes: 2,
        delay: Duration::from_millis(40),
        down: Duration::from_millis(60),
        dark: false,
    },
    CrashPlan {
        job: "5c0e7a21d94b36f9",
        crashes: 4,
        delay: Duration::from_millis(600),
        down: Duration::from_millis(1500),
        dark: true,
    },
];

pub async fn play(record: &CaseRecord, trouble: bool) -> CaseResult {
    let machines = [("orders", 9), ("routes", 8), ("spare", 2)];
    let Some(cluster) = CaseCluster::start(record, 3, &machines).await else {
        return CaseResult::Unusable("the deployment did not start".to_owned());
    };
    let queue = CaseQueue {
        name: "orders".to_owned(),
        service: "orders",
        max_attempts: MAX_ATTEMPTS,
    };
    cluster.configure(1, &[queue]);
    if !cluster.wait_ready().await {
        return CaseResult::Unusable("the machines were not ready".to_owned());
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (mut broken, mut held) = (Vec::new(), Vec::new());
    for plan in PLANS {
        match play_job(&cluster, record, &plan, trouble).await {
            CaseResult::Broken(text) => broken.push(text),
            CaseResult::Held(text) => held.push(text),
            unusable @ CaseResult::Unusable(_) => return unusable,
        }
        tokio::time::sleep(Duration::from_secs(6)).await;
    }
    if broken.is_empty() {
        CaseResult::Held(held.join("; "))
    } else {
        broken.extend(held);
        CaseResult::Broken(format!("LOST: {}", broken.join("; ")))
    }
}

async fn play_job(
    cluster: &CaseCluster,
    record: &CaseRecord,
    plan: &CrashPlan,
    trouble: bool,
) -> CaseResult {
    let job = plan.job;
    let spec = json!({"work_ms": 1500, "cpu": 1800}).to_string();
    let step = json!({"count": 1, "cpu": 1800, "memoryReqMb": 1800, "estimateMs": 1500});
    let body = json!({"spec": spec, "steps": [step]}).to_string();
    let path = format!("/orders/{job}");
    let accepted = cluster.client(0, Method::POST, &path, &body).await;
    if !accepted.is_some_and(|(status, _)| status == 200) {
        return CaseResult::Unusable("the job was not accepted".to_owned());
    }
    let deadline = Instant::now() + Duration::from_secs(40);
    for _ in 0..if trouble { plan.crashes } else { 0 } {
        let machine = loop {
            if let Some(machine) = cluster.platform.machine_of(job) {
                break Some(machine);
            }
            let shown = cluster.state_of(1, &path).await.unwrap_or_default();
            if shown == "failed" || Instant::now() > deadline {
                break None;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        };
        let Some(machine) = machine else {
            break;
        };
        tokio::time::sleep(plan.delay).await;
        let platform = cluster.platform.clone();
        let (down, dark) = (plan.down, plan.dark);
        tokio::spawn(async move { platform.crash_worker(&machine, down, dark).await });
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    loop {
        let state = cluster.state_of(1, &path).await.unwrap_or_default();
        let runs = record.runs_of(job);
        let failed = runs
            .iter()
            .filter(|run| run.end.is_some_and(|(_, how)| how == "failed"));
        let seen = format!(
            "{job} is shown as {state}; {} runs, {} of them ended `failed`, maxAttempts is \
             {MAX_ATTEMPTS}",
            runs.len(),
            failed.count()
        );
        match state.as_str() {
            "completed" => return CaseResult::Held(seen),
            "failed" | "cancelled" => return CaseResult::Broken(seen),
            _ if Instant::now() > deadline => return CaseResult::Unusable(seen),
            _ => tokio::time::sleep(Duration::from_millis(250)).await,
        }
    }
}
