//! The worker of one member of a gang crashes; the gang is started again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use serde_json::json;

use crate::CaseResult;
use crate::cluster::CaseCluster;
use crate::cluster::CaseQueue;
use crate::record::CaseRecord;
use crate::record::SeenRun;

const JOB: &str = "5c0e7a21d94b36f8";
const MEMBERS: usize = 3;
/// Time for which the gang has run when a worker crashes.
const CRASH_AFTER: Duration = Duration::from_millis(2900);
/// Time until another life of the worker starts.
const DOWN: Duration = Duration::from_millis(2000);
/// `bounds.contactMs`: a run that starts later than this after the worker's return has no
/// disturbance near.
const CONTACT_MS: u64 = 3000;
/// Time from the worker's return for which the gang is watched.
const WATCHED: Duration = Duration::from_secs(25);

/// Returns the checkpoints that the starts of each run carried.
fn carried(runs: &[SeenRun]) -> BTreeMap<u32, BTreeSet<String>> {
    let mut carried: BTreeMap<u32, BTreeSet<String>> = BTreeMap::new();
    for seen in runs {
        carried
            .entry(seen.run)
            .or_default()
            .insert(seen.checkpoint.clone());
    }
    carried
}

pub async fn play(record: &CaseRecord, trouble: bool) -> CaseResult {
    let machines = [("orders", 9), ("routes", 8), ("spare", 2)];
    let Some(cluster) = CaseCluster::start(record, 3, &machines).await else {
        return CaseResult::Unusable("the deployment did not start".to_owned());
    };
    let queue = CaseQueue {
        name: "orders".to_owned(),
        service: "orders",
        max_attempts: 4,
    };
    cluster.configure(1, &[queue]);
    if !cluster.wait_ready().await {
        return CaseResult::Unusable("the machines were not ready".to_owned());
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let plan = json!({"work_ms": 6000, "cpu": 4000, "saves": true, "gang": MEMBERS}).to_string();
    let step = json!({
        "count": MEMBERS, "cpu": 4000, "memoryReqMb": 1800, "estimateMs": 6000,
        "checkpointEnabled": true, "gangScheduled": true, "antiAffinity": 1,
    });
    let body = json!({"spec": plan, "steps": [step]}).to_string();
    let path = format!("/orders/{JOB}");
    let accepted = cluster.client(0, Method::POST, &path, &body).await;
    if !accepted.is_some_and(|(status, _)| status == 200) {
        return CaseResult::Unusable("the job was not accepted".to_owned());
    }
    if trouble {
        tokio::time::sleep(CRASH_AFTER).await;
        let member = format!("{JOB}.0.0.0");
        let Some(machine) = cluster.platform.machine_of(&member) else {
            return CaseResult::Unusable("the gang does not run".to_owned());
        };
        cluster.platform.crash_worker(&machine, DOWN, false).await;
    }
    let calm_ms = record.now_ms() + CONTACT_MS;
    let deadline = Instant::now() + WATCHED;
    loop {
        let state = cluster.state_of(1, &path).await.unwrap_or_default();
        let runs = record.runs_of(JOB);
        if state == "completed" {
            return CaseResult::Held(format!(
                "the job is shown as completed; {} starts",
                runs.len()
            ));
        }
        if Instant::now() > deadline {
            let alone = runs.iter().filter(|seen| {
                let is_alone = seen.end.is_some_and(|(_, how)| how == "alone");
                is_alone && seen.started_ms > calm_ms
            });
            let alone = alone.count();
            let mixed = carried(&runs);
            let mixed = mixed
                .values()
                .filter(|checkpoints| checkpoints.len() > 1)
                .count();
            let seen = format!(
                "{alone} runs that started with no disturbance near ended `alone`; in {mixed} runs \
                 of the gang the members carried different checkpoints; the job is shown as {state}"
            );
            return if alone > 0 {
                CaseResult::Broken(format!("GANG: {seen}"))
            } else {
                CaseResult::Unusable(seen)
            };
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}
