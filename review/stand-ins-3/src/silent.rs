//! Open channels to workers go silent, and the leases of subtasks that last lapse.

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

const LASTING_JOB: &str = "5c0e7a21d94b36f8";

/// Workers of the service `supplies` on the site.
const MACHINES: usize = 11;

/// Subtasks that last, and how many of them may be away.
const SUBTASKS: u64 = 5;
const MAX_UNAVAILABLE: u64 = 1;

/// Time between two short jobs.
const JOB_GAP: Duration = Duration::from_millis(40);

/// Time of short jobs before and after the channels go silent.
const BEFORE: Duration = Duration::from_secs(8);
const AFTER: Duration = Duration::from_secs(15);

/// `contactMs` of the site.
const CONTACT: Duration = Duration::from_millis(3000);

fn short_job() -> Json {
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

fn lasting_job() -> Json {
    let step = object([
        ("count", SUBTASKS.into()),
        ("cpu", 2600u64.into()),
        ("memoryReqMb", 8192u64.into()),
        ("antiAffinity", 1u64.into()),
        ("longRunning", true.into()),
        ("maxUnavailable", MAX_UNAVAILABLE.into()),
    ]);
    object([
        ("spec", "work=0 cpu=2600".into()),
        ("steps", Json::List(vec![step])),
    ])
}

pub fn run(context: &Context) -> io::Result<Findings> {
    let machines = (0..MACHINES).map(|at| (format!("m-{at:02}"), format!("r1-{}", at / 4)));
    let machines: Vec<(String, String)> = machines.collect();
    let deployment = setup::start(context, &machines, None)?;
    thread::sleep(Duration::from_secs(2));
    if !deployment.caller.submit(LASTING_JOB, &lasting_job()) {
        return Err(io::Error::other("the lasting job was not accepted"));
    }
    let started = Instant::now();
    let mut silenced = None;
    let mut number = 0u64;
    while started.elapsed() < BEFORE + AFTER {
        if silenced.is_none() && started.elapsed() >= BEFORE {
            if context.trouble {
                deployment.fleet.silence();
            }
            silenced = Some(Instant::now());
        }
        number += 1;
        let (caller, id) = (deployment.caller.clone(), format!("{number:016x}"));
        thread::spawn(move || caller.submit(&id, &short_job()));
        thread::sleep(JOB_GAP);
    }
    let silenced = silenced.unwrap_or(started);
    let ends = deployment.fleet.ended().into_iter();
    let lapsed = ends.filter(|end| end.task.starts_with(LASTING_JOB) && end.how == "lapsed");
    let late: Vec<_> = lapsed.filter(|end| end.at > silenced + CONTACT).collect();
    for end in &late {
        context.record.write(&format!(
            "lapsed task={} run={} {:.2} s after the channels went silent",
            end.task,
            end.run,
            (end.at - silenced).as_secs_f64()
        ));
    }
    // The lapse of a subtask breaks the rule while as many others are away as may be.
    let tasks: BTreeSet<&str> = late.iter().map(|end| end.task.as_str()).collect();
    if tasks.len() as u64 > MAX_UNAVAILABLE {
        return Ok(vec![format!(
            "AVAIL: the leases of {} of {SUBTASKS} subtasks that last lapsed later than contactMs \
             after the channels went silent; {MAX_UNAVAILABLE} may be away",
            tasks.len()
        )]);
    }
    Ok(Findings::new())
}
