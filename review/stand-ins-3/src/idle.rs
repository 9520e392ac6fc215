//! Watches a job until the end of a case, for times in which nothing of it runs.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Context;
use crate::setup::Deployment;

/// `finish_s` of the site: the time from the end of the traffic until jobs are asked for.
pub const FINISH: Duration = Duration::from_secs(14);

/// Time without a run that breaks LOST.
pub const IDLE: Duration = Duration::from_secs(3);

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(50);

/// What was seen of a job.
pub struct Watched {
    pub state: String,
    /// Longest time from `finish_s` on in which nothing of the job ran.
    pub longest_idle: Duration,
}

/// Watches a job that was handed in at `submitted` as the last one, until it is completed or
/// `length` has passed.
pub fn watch(
    context: &Context,
    deployment: &Deployment,
    job: &str,
    submitted: Instant,
    length: Duration,
) -> Watched {
    let mut watched = Watched {
        state: String::new(),
        longest_idle: Duration::ZERO,
    };
    let mut idle_since: Option<Instant> = None;
    let mut next_query = Instant::now();
    while submitted.elapsed() < length {
        thread::sleep(LOOK);
        if Instant::now() >= next_query {
            watched.state = deployment.caller.state(job);
            next_query = Instant::now() + Duration::from_secs(1);
        }
        if watched.state == "completed" {
            break;
        }
        let running = deployment.fleet.running(job);
        if running > 0 || submitted.elapsed() < FINISH {
            if let Some(since) = idle_since.take() {
                let idle = since.elapsed();
                context.record.write(&format!(
                    "nothing of job={job} ran for {:.2} s",
                    idle.as_secs_f64()
                ));
            }
            continue;
        }
        let since = *idle_since.get_or_insert_with(Instant::now);
        watched.longest_idle = watched.longest_idle.max(since.elapsed());
    }
    context.record.write(&format!(
        "GET job={job} state={} longest time without a run after finish_s: {:.2} s",
        watched.state,
        watched.longest_idle.as_secs_f64()
    ));
    watched
}
