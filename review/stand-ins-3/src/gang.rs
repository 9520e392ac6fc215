//! A gang that loses a worker, and whose members are then started with different checkpoints.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Context;
use crate::Findings;
use crate::json::Json;
use crate::json::object;
use crate::setup;
use crate::workers::Crash;

const JOB: &str = "5c0e7a21d94b36f8";

/// Members of the gang.
const MEMBERS: u64 = 4;

/// Time from the submission to the crash of one worker.
const CRASH: Duration = Duration::from_millis(4700);

/// `contactMs` of the site, and the time in which a run's members wait for each other.
const CALM: Duration = Duration::from_secs(6);

/// Time from the submission to the end of the case.
const LENGTH: Duration = Duration::from_secs(45);

pub fn run(context: &Context) -> io::Result<Findings> {
    let machines = (0..6).map(|number| (format!("m-{number}"), format!("r1-{}", number / 4)));
    let machines: Vec<(String, String)> = machines.collect();
    let deployment = setup::start(context, &machines, None)?;
    thread::sleep(Duration::from_secs(2));
    let step = object([
        ("count", MEMBERS.into()),
        ("cpu", 20_000u64.into()),
        ("memoryReqMb", 8192u64.into()),
        ("estimateMs", 8000u64.into()),
        ("gangScheduled", true.into()),
        ("checkpointEnabled", true.into()),
    ]);
    let job = object([
        ("spec", format!("work=8000 cpu=20000 gang={MEMBERS}").into()),
        ("steps", Json::List(vec![step])),
    ]);
    if !deployment.caller.submit(JOB, &job) {
        return Err(io::Error::other("the job was not accepted"));
    }
    let started = Instant::now();
    let mut crashed = None;
    let mut state = String::new();
    while started.elapsed() < LENGTH && state != "completed" {
        if context.trouble && crashed.is_none() && started.elapsed() > CRASH {
            let starts = deployment.fleet.starts();
            let first = starts.first().map(|start| start.worker.clone());
            let id = first.ok_or_else(|| io::Error::other("the gang has not started"))?;
            let number = usize::from_str_radix(&id[id.len() - 4..], 16).unwrap_or(0);
            deployment
                .fleet
                .crash(&[&format!("m-{number}")], Crash::Plain);
            crashed = Some(Instant::now());
        }
        thread::sleep(Duration::from_millis(100));
        state = deployment.caller.state(JOB);
    }
    context
        .record
        .write(&format!("GET job={JOB} state={state}"));
    let mut findings = Findings::new();
    let mut values: BTreeMap<u32, BTreeSet<String>> = BTreeMap::new();
    for start in deployment.fleet.starts() {
        values
            .entry(start.run)
            .or_default()
            .insert(start.checkpoint);
    }
    let alone: Vec<u32> = deployment
        .fleet
        .ended()
        .iter()
        .filter(|end| {
            let calm = crashed.is_none_or(|crashed| end.at > crashed + CALM);
            calm && end.how == "alone"
        })
        .map(|end| end.run)
        .collect();
    if let (Some(first), Some(last)) = (alone.first(), alone.last()) {
        findings.push(format!(
            "GANG: {} subtasks have ended alone in runs {first} to {last}, with no disturbance near",
            alone.len()
        ));
    }
    // Notes beside the rule: what the members were told, and what becomes of the job.
    for (run, values) in values.iter().filter(|(_, values)| values.len() > 1) {
        context.record.write(&format!(
            "note: the members of run {run} carry the checkpoints {values:?}"
        ));
    }
    if state != "completed" {
        context.record.write(&format!(
            "note: the job is {state} {} s after its submission",
            LENGTH.as_secs()
        ));
    }
    Ok(findings)
}
