//! Jobs whose subtasks take far longer than estimated.

use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Context;
use crate::Findings;
use crate::idle;
use crate::json::Json;
use crate::json::object;
use crate::setup;

/// The jobs; the last one is watched.
const JOBS: [&str; 3] = ["5c0e7a21d94b36f6", "5c0e7a21d94b36f7", "5c0e7a21d94b36f8"];

/// Workers of the service `supplies` on the site.
const MACHINES: usize = 11;

/// Subtasks of each job, below the largest of the site (32).
const SUBTASKS: u64 = 22;

const ESTIMATE_MS: u64 = 20_000;

/// Factor by which the subtasks take longer than estimated.
const FACTOR: u64 = 20;

/// Time from the submission to the end of the case.
const LENGTH: Duration = Duration::from_secs(50);

pub fn run(context: &Context) -> io::Result<Findings> {
    let machines = (0..MACHINES).map(|at| (format!("m-{at:02}"), format!("r1-{}", at / 4)));
    let machines: Vec<(String, String)> = machines.collect();
    let deployment = setup::start(context, &machines, None)?;
    thread::sleep(Duration::from_secs(2));
    let factor = if context.trouble { FACTOR } else { 1 };
    let step = object([
        ("count", SUBTASKS.into()),
        ("cpu", 5000u64.into()),
        ("memoryReqMb", 8192u64.into()),
        ("estimateMs", ESTIMATE_MS.into()),
    ]);
    let work = ESTIMATE_MS * factor;
    let job = object([
        ("spec", format!("work={work} cpu=5000").into()),
        ("steps", Json::List(vec![step])),
    ]);
    for id in JOBS {
        if !deployment.caller.submit(id, &job) {
            return Err(io::Error::other("a job was not accepted"));
        }
    }
    let last = JOBS[JOBS.len() - 1];
    let watched = idle::watch(context, &deployment, last, Instant::now(), LENGTH);
    let ends = deployment.fleet.ended();
    let stopped = ends.iter().filter(|end| end.how == "stopped").count();
    context
        .record
        .write(&format!("note: {stopped} runs were stopped"));
    if watched.state != "completed" && watched.longest_idle > idle::IDLE {
        return Ok(vec![format!(
            "LOST: job {last} is {} and had nothing running for {:.1} s after finish_s, with all \
             {MACHINES} workers sound and empty; {stopped} of its runs were stopped",
            watched.state,
            watched.longest_idle.as_secs_f64()
        )]);
    }
    Ok(Findings::new())
}
