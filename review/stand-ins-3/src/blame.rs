//! Two crashes of workers, and a job that is shown as `failed` though no subtask of it has ended
//! `failed`.

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

/// Time between two jobs.
const JOB_GAP: Duration = Duration::from_millis(50);

/// Time from the first job to the last.
const TRAFFIC: Duration = Duration::from_secs(14);

/// Time from the first job to the crash of the first rack.
const FIRST_CRASH: Duration = Duration::from_millis(5000);

/// Time from the first job to the crash of the second rack.
const SECOND_CRASH: Duration = Duration::from_millis(6800);

/// Time after the last job within which all jobs have to be shown as `completed`; `finish_s` of the
/// site and a margin.
const FINISH: Duration = Duration::from_secs(25);

/// Machines of a rack, as on the site.
const RACK: usize = 4;

const RACKS: usize = 3;

fn job() -> Json {
    let step = object([
        ("count", 6u64.into()),
        ("cpu", 2300u64.into()),
        ("memoryReqMb", 4096u64.into()),
        ("estimateMs", 640u64.into()),
    ]);
    object([
        ("spec", "work=640 cpu=2300".into()),
        ("steps", Json::List(vec![step])),
    ])
}

fn machine(rack: usize, number: usize) -> String {
    format!("m-{rack}{number}")
}

fn rack_machines(rack: usize) -> Vec<String> {
    (0..RACK).map(|number| machine(rack, number)).collect()
}

pub fn run(context: &Context) -> io::Result<Findings> {
    let racks = (0..RACKS).flat_map(|rack| (0..RACK).map(move |number| (rack, number)));
    let machines = racks.map(|(rack, number)| (machine(rack, number), format!("r1-{rack}")));
    let machines: Vec<(String, String)> = machines.collect();
    let deployment = setup::start(context, &machines, None)?;
    thread::sleep(Duration::from_secs(2));
    let started = Instant::now();
    let disruption = context.trouble.then(|| {
        let fleet = deployment.fleet.clone();
        thread::spawn(move || {
            for (rack, at, how) in [
                (0, FIRST_CRASH, Crash::Dark),
                (1, SECOND_CRASH, Crash::Plain),
            ] {
                thread::sleep(at.saturating_sub(started.elapsed()));
                let machines = rack_machines(rack);
                let machines: Vec<&str> = machines.iter().map(String::as_str).collect();
                fleet.crash(&machines, how);
            }
        })
    });
    let mut calls = Vec::new();
    let mut number = 0u64;
    while started.elapsed() < TRAFFIC {
        number += 1;
        let (caller, id) = (deployment.caller.clone(), format!("{number:016x}"));
        calls.push(thread::spawn(move || {
            let accepted = caller.submit(&id, &job());
            accepted.then_some(id)
        }));
        thread::sleep(JOB_GAP);
    }
    let accepted: Vec<String> = calls
        .into_iter()
        .flat_map(|call| call.join().ok()?)
        .collect();
    if let Some(disruption) = disruption {
        let _ = disruption.join();
    }
    let mut open = accepted.clone();
    let mut findings = Findings::new();
    let deadline = Instant::now() + FINISH;
    while !open.is_empty() && Instant::now() < deadline {
        open.retain(|id| {
            let state = deployment.caller.state(id);
            if state == "completed" {
                return false;
            }
            if state != "failed" {
                return true;
            }
            context.record.write(&format!("GET job={id} state=failed"));
            let ends = deployment.fleet.ended();
            let failed = ends.iter().filter(|end| end.task.starts_with(id.as_str()) && end.how == "failed");
            findings.push(format!(
                "LOST: job {id} is shown as failed; {} of its runs have ended failed, of 3 attempts",
                failed.count()
            ));
            false
        });
        thread::sleep(Duration::from_millis(200));
    }
    context.record.write(&format!(
        "jobs accepted={} not completed={}",
        accepted.len(),
        open.len()
    ));
    Ok(findings)
}
