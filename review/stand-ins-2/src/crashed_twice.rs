//! Two workers crash, each soon after it has started the same subtask, which never fails.

use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use serde_json::json;

use crate::CaseResult;
use crate::cluster::CaseCluster;
use crate::cluster::CaseQueue;
use crate::record::CaseRecord;

const JOB: &str = "5c0e7a21d94b36f8";
const MAX_ATTEMPTS: u32 = 4;
/// Time from the start of the run to the crash of its worker.
const CRASH_DELAY: Duration = Duration::from_millis(40);
/// Time until another life of the worker starts.
const DOWN: Duration = Duration::from_millis(2000);
const CRASHES: usize = 2;

pub async fn play(record: &CaseRecord, trouble: bool) -> CaseResult {
    let machines = [("orders", 8), ("routes", 8), ("spare", 2)];
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
    let plan = json!({"work_ms": 1500, "cpu": 1800}).to_string();
    let step = json!({"count": 1, "cpu": 1800, "memoryReqMb": 1800, "estimateMs": 1500});
    let body = json!({"spec": plan, "steps": [step]}).to_string();
    let path = format!("/orders/{JOB}");
    let accepted = cluster.client(0, Method::POST, &path, &body).await;
    if !accepted.is_some_and(|(status, _)| status == 200) {
        return CaseResult::Unusable("the job was not accepted".to_owned());
    }
    for _ in 0..if trouble { CRASHES } else { 0 } {
        let deadline = Instant::now() + Duration::from_secs(20);
        let machine = loop {
            if let Some(machine) = cluster.platform.machine_of(JOB) {
                break machine;
            }
            if Instant::now() > deadline {
                return CaseResult::Unusable("the subtask was not started".to_owned());
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        };
        tokio::time::sleep(CRASH_DELAY).await;
        let platform = cluster.platform.clone();
        tokio::spawn(async move { platform.crash_worker(&machine, DOWN).await });
        tokio::time::sleep(CRASH_DELAY).await;
    }
    let deadline = Instant::now() + Duration::from_secs(40);
    loop {
        let state = cluster.state_of(1, &path).await.unwrap_or_default();
        let runs = record.runs_of(JOB);
        let failed = runs
            .iter()
            .filter(|run| run.end.is_some_and(|(_, how)| how == "failed"));
        let seen = format!(
            "{} runs, {} of them ended `failed`",
            runs.len(),
            failed.count()
        );
        match state.as_str() {
            "completed" => {
                return CaseResult::Held(format!("the job is shown as completed; {seen}"));
            }
            "failed" | "cancelled" => {
                return CaseResult::Broken(format!(
                    "LOST: the job is shown as {state}; {seen}; maxAttempts is {MAX_ATTEMPTS}"
                ));
            }
            _ if Instant::now() > deadline => {
                return CaseResult::Unusable(format!("the job is shown as {state:?}; {seen}"));
            }
            _ => tokio::time::sleep(Duration::from_millis(250)).await,
        }
    }
}
