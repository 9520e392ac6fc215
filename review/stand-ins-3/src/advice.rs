//! Jobs on a queue whose starts need the advice service's tickets, and that never start.

use std::io;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Context;
use crate::Findings;
use crate::json::Json;
use crate::json::object;
use crate::setup;
use crate::workers::Advice;

/// The same job, handed in before the change of the configuration.
const FIRST_JOB: &str = "5c0e7a21d94b36f1";

/// The job that is looked at.
const JOB: &str = "5c0e7a21d94b36f8";

/// `finish_s` of the site: the time from the end of the traffic until jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);

/// Time without a run that breaks the rule.
const IDLE: Duration = Duration::from_secs(3);

/// Time from the submission to the end of the case.
const LENGTH: Duration = Duration::from_secs(40);

/// Time within which the first job has to be done.
const FIRST_LIMIT: Duration = Duration::from_secs(15);

/// `configApplyMs` of the site, and a second more.
const CONFIG_APPLIED: Duration = Duration::from_millis(3000);

struct Plan {
    /// Advice service of the queue before and after the change of the configuration, if any.
    before: Option<Advice>,
    after: Option<Advice>,
    machines: usize,
    subtasks: u64,
    is_gang: bool,
}

/// A queue that gets an advice service: none is asked for a gang.
pub fn run_gang(context: &Context) -> io::Result<Findings> {
    let advice = Advice {
        decision_ms: 100,
        period_ms: 10,
        validity_ms: 3000,
    };
    let plan = Plan {
        before: None,
        after: context.trouble.then_some(advice),
        machines: 6,
        subtasks: 3,
        is_gang: true,
    };
    run(context, &plan)
}

/// A queue whose advice service takes 1.7 s for ten workers, after 0.6 s before.
pub fn run_slow(context: &Context) -> io::Result<Findings> {
    let advice = |decision_ms| Advice {
        decision_ms,
        period_ms: 50,
        validity_ms: 3000,
    };
    let plan = Plan {
        before: Some(advice(100)),
        after: Some(advice(if context.trouble { 1200 } else { 100 })),
        machines: 11,
        subtasks: 8,
        is_gang: false,
    };
    run(context, &plan)
}

fn job(subtasks: u64, is_gang: bool) -> Json {
    let step = object([
        ("count", subtasks.into()),
        ("cpu", 8000u64.into()),
        ("memoryReqMb", 8192u64.into()),
        ("estimateMs", 1300u64.into()),
        ("gangScheduled", is_gang.into()),
    ]);
    let gang = if is_gang { subtasks } else { 0 };
    object([
        ("spec", format!("work=1300 cpu=8000 gang={gang}").into()),
        ("steps", Json::List(vec![step])),
    ])
}

fn run(context: &Context, plan: &Plan) -> io::Result<Findings> {
    let machines = (0..plan.machines).map(|at| (format!("m-{at:02}"), format!("r1-{}", at / 4)));
    let machines: Vec<(String, String)> = machines.collect();
    let deployment = setup::start(context, &machines, plan.before)?;
    let caller = &deployment.caller;
    thread::sleep(Duration::from_secs(2));
    let accepted = caller.submit(FIRST_JOB, &job(plan.subtasks, plan.is_gang));
    let started = Instant::now();
    while !accepted || caller.state(FIRST_JOB) != "completed" {
        if !accepted || started.elapsed() > FIRST_LIMIT {
            return Err(io::Error::other("the first job is not done"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    context.record.write(&format!(
        "GET job={FIRST_JOB} state=completed advice calls={}",
        deployment.fleet.advised()
    ));
    deployment.configure(context, 9, plan.after);
    thread::sleep(CONFIG_APPLIED);
    let before = deployment.fleet.advised();
    if !caller.submit(JOB, &job(plan.subtasks, plan.is_gang)) {
        return Err(io::Error::other("the job was not accepted"));
    }
    let submitted = Instant::now();
    let mut state = String::new();
    while state != "completed" && submitted.elapsed() < LENGTH {
        thread::sleep(Duration::from_millis(250));
        state = caller.state(JOB);
    }
    let own = deployment.fleet.starts().into_iter();
    let own = own.filter(|start| start.task.starts_with(JOB));
    let last = own.clone().map(|start| start.at).max();
    let calls = deployment.fleet.advised() - before;
    context.record.write(&format!(
        "GET job={JOB} state={state} starts={} advice calls={calls}",
        own.count()
    ));
    // The job is the last one, so that the traffic ends with it.
    let asked = submitted + FINISH;
    let idle_since = last.unwrap_or(submitted).max(asked);
    if state != "completed" && idle_since.elapsed() > IDLE {
        return Ok(vec![format!(
            "LOST: job {JOB} is {state} and has had nothing running for {} s after finish_s, all \
             workers are empty; {calls} calls for advice were made for it",
            idle_since.elapsed().as_secs()
        )]);
    }
    Ok(Findings::new())
}
