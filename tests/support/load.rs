//! Load patterns on the simulated scheduler: callers that submit jobs, retry when refused,
//! and give up.

use std::collections::BTreeMap;

use chicorygauge::jobs::actions::CallerAnswer;
use chicorygauge::jobs::load::PoolLoad;
use chicorygauge::jobs::record::BodyRecord;
use chicorygauge::jobs::types::JobSpec;

use crate::world::POOL;
use crate::world::World;
use crate::world::job;
use crate::world::step;

/// Slack and constant part of the objective of the simulated queue.
const OBJECTIVE: (f64, f64) = (1.6, 600.0);

/// Maximum number of retries of a caller.
const MAX_RETRIES: u32 = 4;

/// How long a load is run after its last arrival, in milliseconds; longer than callers
/// retry.
const REST_MS: u64 = 16_000;

/// Rule of admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionRule {
    /// The rule of the scheduler.
    Cost,
    /// The rule before it: the projected duration at the whole backlog.
    Objective,
}

/// A job and when its caller sends it.
#[derive(Clone, Debug)]
pub struct LoadJob {
    pub at_ms: u64,
    pub spec: JobSpec,
    pub utility: f64,
}

/// What became of a job.
#[derive(Clone, Debug, Default)]
pub struct JobOutcome {
    pub id: String,
    pub sent_ms: u64,
    /// Times of refusals.
    pub refused_ms: Vec<u64>,
    /// Times of retries.
    pub retried_ms: Vec<u64>,
    /// Time from the first send to completion.
    pub duration_ms: Option<u64>,
    pub timely: bool,
    pub utility: f64,
    pub work: u64,
}

/// Returns the objective of a job of the simulated queue, in milliseconds.
pub fn objective_ms(spec: &JobSpec) -> f64 {
    spec.critical_path_ms() as f64 * OBJECTIVE.0 + OBJECTIVE.1
}

/// Minimum work of the jobs of the two larger classes of [`mixed_job`], in
/// millicore-milliseconds.
pub const LARGE_WORK: u64 = 5_000_000;
pub const LARGEST_WORK: u64 = 20_000_000;

/// Returns a job of about 1.6, 9.6 or 28.8 core-seconds: seven tenths, two tenths and one
/// tenth of all. Estimates vary by a tenth either way.
pub fn mixed_job(draw: u64) -> JobSpec {
    let estimate = |mean_ms: u64| mean_ms * (90 + draw / 10 % 21) / 100;
    match draw % 10 {
        0 => job(&[step(8, 4_000, estimate(450)), step(8, 4_000, estimate(450))]),
        1 | 2 => job(&[step(4, 4_000, estimate(600))]),
        _ => job(&[step(2, 2_000, estimate(400))]),
    }
}

impl JobOutcome {
    /// Returns whether the job belongs to the largest class of [`mixed_job`].
    pub fn is_largest(&self) -> bool {
        self.work >= LARGEST_WORK
    }

    /// Returns whether it belongs to the class below.
    pub fn is_large(&self) -> bool {
        (LARGE_WORK..LARGEST_WORK).contains(&self.work)
    }
}

/// Mean work of [`mixed_job`], in millicore-milliseconds.
pub const MIXED_WORK: f64 = 5_920_000.0;

/// Returns jobs whose work arrives at `rate` times `capacity` millicores from `from_ms` to
/// `to_ms`.
pub fn arrivals(world: &mut World, from_ms: u64, to_ms: u64, rate: f64) -> Vec<LoadJob> {
    let capacity: u64 = world
        .workers
        .values()
        .map(|worker| worker.entry.capacity.cpu)
        .sum();
    let per_ms = rate * capacity as f64 / MIXED_WORK;
    let mut jobs = Vec::new();
    let mut due = 0.0;
    for at_ms in from_ms..to_ms {
        due += per_ms;
        while due >= 1.0 {
            due -= 1.0;
            let spec = mixed_job(world.draw());
            let utility = (0.3 + 0.7 * spec.work() as f64 / MIXED_WORK).min(4.0);
            jobs.push(LoadJob {
                at_ms,
                spec,
                utility,
            });
        }
    }
    jobs
}

/// Returns `count` copies of a job sent at `at_ms`, with utility by the mean of the mix.
pub fn copies(count: usize, at_ms: u64, spec: &JobSpec) -> Vec<LoadJob> {
    let utility = (0.3 + 0.7 * spec.work() as f64 / MIXED_WORK).min(4.0);
    let copy = LoadJob {
        at_ms,
        spec: spec.clone(),
        utility,
    };
    vec![copy; count]
}

/// The rule of admission before costs were considered, to compare with.
///
/// # Errors
///
/// Fails with the delay before the caller should retry, in milliseconds.
pub fn check_objective(load: &PoolLoad, spec: &JobSpec, objective_ms: f64) -> Result<(), u64> {
    if load.capacity <= 0.0 || load.free > 0.0 && load.backlog < load.capacity {
        return Ok(());
    }
    let wait_ms = load.backlog / load.capacity;
    let projected_ms = wait_ms + spec.critical_path_ms() as f64;
    if projected_ms <= objective_ms * 2.5 {
        return Ok(());
    }
    let excess_ms = projected_ms - objective_ms;
    Err((excess_ms as u64).clamp(300, 3000))
}

/// Adds a job without admission, as if a former owner had accepted it.
pub fn add_accepted(world: &mut World, id: &str, spec: &JobSpec, age_ms: u64) {
    world.specs.insert(id.to_owned(), spec.clone());
    let time = world.time();
    let body = BodyRecord {
        queue: "orders".to_owned(),
        pool: POOL.to_owned(),
        submitted_ms: time.unix - age_ms,
        spec: spec.clone(),
        account: None,
        terms: None,
    };
    world.engine.restore_job(id.into(), body, None, time);
}

fn new_outcomes(jobs: &[LoadJob], start_ms: u64) -> Vec<JobOutcome> {
    let outcomes = jobs.iter().enumerate().map(|(number, job)| JobOutcome {
        id: format!("{number:016x}"),
        sent_ms: start_ms + job.at_ms,
        work: job.spec.work(),
        ..JobOutcome::default()
    });
    outcomes.collect()
}

/// Determines which jobs have completed in time, and their utility.
fn judge_outcomes(world: &World, jobs: &[LoadJob], outcomes: &mut [JobOutcome]) {
    for (outcome, job) in outcomes.iter_mut().zip(jobs) {
        let Some(completed_ms) = world.completed.get(&outcome.id) else {
            continue;
        };
        let duration_ms = completed_ms - outcome.sent_ms;
        let objective_ms = objective_ms(&job.spec);
        outcome.duration_ms = Some(duration_ms);
        outcome.timely = duration_ms as f64 <= objective_ms;
        outcome.utility = if outcome.timely {
            job.utility
        } else if duration_ms as f64 <= objective_ms * 3.0 {
            job.utility * 0.07
        } else {
            0.0
        };
    }
}

/// Runs a load; `each_ms` is called once a millisecond with the time since its start.
pub fn run_load(
    world: &mut World,
    jobs: &[LoadJob],
    rule: AdmissionRule,
    mut each_ms: impl FnMut(&mut World, u64),
) -> Vec<JobOutcome> {
    let start_ms = world.now;
    let mut outcomes = new_outcomes(jobs, start_ms);
    let mut sends: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    for (number, job) in jobs.iter().enumerate() {
        sends.entry(start_ms + job.at_ms).or_default().push(number);
    }
    let mut waiter = 0;
    let mut open: Vec<(usize, u64)> = Vec::new();
    let last_ms = jobs.iter().map(|job| job.at_ms).max().unwrap_or(0);
    while world.now < start_ms + last_ms + REST_MS {
        let now = world.now;
        let mut refusals: Vec<(usize, u64)> = Vec::new();
        for number in sends.remove(&now).unwrap_or_default() {
            let (id, spec) = (outcomes[number].id.clone(), &jobs[number].spec);
            if now > outcomes[number].sent_ms {
                outcomes[number].retried_ms.push(now);
            }
            if rule == AdmissionRule::Objective {
                let load = world.engine.pool_load(POOL);
                if let Err(retry_ms) = check_objective(&load, spec, objective_ms(spec)) {
                    refusals.push((number, retry_ms));
                    continue;
                }
            }
            waiter += 1;
            world.submit(&id, spec, waiter);
            open.push((number, waiter));
        }
        let mut overruled = Vec::new();
        open.retain(|(number, waiter)| match world.answers.get(waiter) {
            None => true,
            Some(CallerAnswer::Refused { .. }) if rule == AdmissionRule::Objective => {
                // The former rule has accepted it.
                overruled.push(*number);
                false
            }
            Some(CallerAnswer::Refused { retry_ms }) => {
                refusals.push((*number, *retry_ms));
                false
            }
            Some(_) => false,
        });
        for number in overruled {
            add_accepted(world, &outcomes[number].id, &jobs[number].spec, 0);
        }
        for (number, retry_ms) in refusals {
            let outcome = &mut outcomes[number];
            outcome.refused_ms.push(now);
            if outcome.refused_ms.len() as u32 <= MAX_RETRIES {
                let at = now + retry_ms.div_ceil(1000) * 1000;
                sends.entry(at).or_default().push(number);
            }
        }
        each_ms(world, now - start_ms);
        world.run(1);
    }
    judge_outcomes(world, jobs, &mut outcomes);
    outcomes
}

/// Returns the total utility of a load's jobs.
pub fn total_utility(outcomes: &[JobOutcome]) -> f64 {
    outcomes.iter().map(|outcome| outcome.utility).sum()
}

/// Returns the share of jobs, among those selected, that completed within their objective.
pub fn timely_share(outcomes: &[JobOutcome], select: impl Fn(&JobOutcome) -> bool) -> f64 {
    let selected: Vec<_> = outcomes.iter().filter(|outcome| select(outcome)).collect();
    let timely = selected.iter().filter(|outcome| outcome.timely).count();
    timely as f64 / selected.len().max(1) as f64
}
