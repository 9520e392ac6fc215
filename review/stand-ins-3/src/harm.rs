//! Short subtasks that fill come one after the other beside subtasks that serve.

use std::collections::BTreeMap;
use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Context;
use crate::Findings;
use crate::json::Json;
use crate::json::object;
use crate::setup;

const SERVING_JOB: &str = "5c0e7a21d94b36f8";

/// Workers, each with one subtask that serves.
const MACHINES: usize = 6;

/// Target of the serving subtasks, their tail alone, and what a filling one adds to it.
const TARGET_MS: u64 = 100;
const TAIL_MS: u64 = 60;
const HARM_MS: u64 = 100;

/// Time between two filling jobs of one subtask for each worker.
const JOB_GAP: Duration = Duration::from_millis(300);

/// Time of the filling jobs.
const TRAFFIC: Duration = Duration::from_secs(25);

/// `impactMs` of the site.
const IMPACT: Duration = Duration::from_millis(4000);

fn serving_job() -> Json {
    let step = object([
        ("count", (MACHINES as u64).into()),
        ("cpu", 2600u64.into()),
        ("memoryReqMb", 8192u64.into()),
        ("antiAffinity", 1u64.into()),
        ("longRunning", true.into()),
        ("image", "front".into()),
        ("targetMs", TARGET_MS.into()),
    ]);
    object([
        ("spec", format!("work=0 cpu=2600 tail={TAIL_MS}").into()),
        ("steps", Json::List(vec![step])),
    ])
}

fn filling_job() -> Json {
    let step = object([
        ("count", (MACHINES as u64).into()),
        ("cpu", 1000u64.into()),
        ("memoryReqMb", 512u64.into()),
        ("estimateMs", 1000u64.into()),
        ("image", "batch".into()),
        ("fillCount", true.into()),
    ]);
    object([
        ("spec", format!("work=1000 cpu=1000 harm={HARM_MS}").into()),
        ("steps", Json::List(vec![step])),
    ])
}

pub fn run(context: &Context) -> io::Result<Findings> {
    let machines = (0..MACHINES).map(|at| (format!("m-{at:02}"), format!("r1-{}", at / 4)));
    let machines: Vec<(String, String)> = machines.collect();
    let deployment = setup::start(context, &machines, None)?;
    thread::sleep(Duration::from_secs(2));
    if !deployment.caller.submit(SERVING_JOB, &serving_job()) {
        return Err(io::Error::other("the serving job was not accepted"));
    }
    thread::sleep(Duration::from_secs(4));
    let started = Instant::now();
    let mut number = 0u64;
    while started.elapsed() < TRAFFIC {
        if context.trouble {
            number += 1;
            let (caller, id) = (deployment.caller.clone(), format!("{number:016x}"));
            thread::spawn(move || caller.submit(&id, &filling_job()));
        }
        thread::sleep(JOB_GAP);
    }
    let mut over: BTreeMap<String, (Instant, Duration)> = BTreeMap::new();
    for (at, worker, tail) in deployment.fleet.tails() {
        let (since, longest) = over.entry(worker).or_insert((at, Duration::ZERO));
        if tail <= TARGET_MS {
            *since = at;
        }
        *longest = (*longest).max(at - *since);
    }
    for (worker, (_, longest)) in &over {
        context.record.write(&format!(
            "the subtask that serves at {worker} was over its target for {:.2} s on end",
            longest.as_secs_f64()
        ));
    }
    let harmed = over.values().filter(|(_, longest)| *longest > IMPACT);
    let count = harmed.clone().count();
    let Some(longest) = harmed.map(|(_, longest)| *longest).max() else {
        return Ok(Findings::new());
    };
    Ok(vec![format!(
        "HARM: {count} of {MACHINES} subtasks that serve were over their target on end, for up to \
         {:.1} s, by subtasks that fill beside them",
        longest.as_secs_f64()
    )])
}
