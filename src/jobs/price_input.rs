//! Rows of the tables of waiting work, from the jobs of the scheduler.

use crate::jobs::engine::JobEngine;
use crate::jobs::job::JobEntry;
use crate::jobs::load::PoolLoad;
use crate::jobs::place::remaining_work;
use crate::jobs::place::rest_ms;
use crate::jobs::price::LATE_FACTOR;
use crate::jobs::price::PoolSupply;
use crate::jobs::price::PriceTable;
use crate::jobs::price::WaitingRow;
use crate::jobs::price::job_utility;
use crate::jobs::size_guard::preferred_rank;
use crate::jobs::types::JobId;
use crate::jobs::types::JobSpec;

/// Minimum share of a pool's capacity that is assumed to serve jobs beside long-running
/// tasks, so that times stay finite.
const MIN_USABLE_SHARE: f64 = 0.1;

/// Returns the millicores that the first steps of a job need at its start.
#[must_use]
pub fn starting_cpu(spec: &JobSpec) -> f64 {
    let first = spec.steps.iter().filter(|step| step.after.is_empty());
    let cpu = first.map(|step| f64::from(step.tasks) * step.reserved().cpu as f64);
    cpu.sum()
}

/// Returns the remaining work of a job's tasks that have a run, in millicore-milliseconds,
/// and the millicores that its ready tasks without a run need.
fn running_and_ready(job: &JobEntry) -> (u64, u64) {
    let (mut running, mut ready): (u64, u64) = (0, 0);
    for steps in job.open.values() {
        let steps = job.body.spec.steps.iter().zip(steps);
        for (spec, step) in steps.filter(|(_, step)| step.open_ms.is_some()) {
            for task in step.tasks.iter().filter(|task| !task.done) {
                let percent = task.placed.iter().map(|run| run.percent).max();
                let Some(percent) = percent else {
                    ready = ready.saturating_add(spec.reserved().cpu);
                    continue;
                };
                let work = rest_ms(spec, percent).saturating_mul(spec.need.cpu);
                running = running.saturating_add(work);
            }
        }
    }
    (running, ready)
}

/// Jobs of a pool while its table is built.
#[derive(Clone, Debug, Default)]
pub struct PriceInput {
    running: f64,
    ready_cpu: f64,
    rows: Vec<WaitingRow>,
    /// Jobs that turned out to be late since the last update.
    pub late: Vec<JobId>,
}

impl PriceInput {
    /// Returns the table of a pool with the given load.
    #[must_use]
    pub fn table(self, load: &PoolLoad, arrival_ms: u64, now: u64) -> PriceTable {
        let usable = load.capacity - (load.long_running - load.stranded);
        let supply = PoolSupply {
            built_ms: now,
            capacity: usable.max(load.capacity * MIN_USABLE_SHARE),
            arriving: load.arriving,
            arrival_ms: arrival_ms as f64,
            running: self.running,
            room: load.free - self.ready_cpu,
        };
        PriceTable::new(supply, self.rows)
    }
}

impl JobEngine {
    /// Adds a job without long-running steps to its pool's input; returns its remaining
    /// work, in millicore-milliseconds.
    pub(crate) fn add_price_row(&self, input: &mut PriceInput, job: &JobEntry, now: u64) -> f64 {
        let (work, critical_ms) = remaining_work(job);
        let (running, ready_cpu) = running_and_ready(job);
        input.running += running as f64;
        input.ready_cpu += ready_cpu as f64;
        if work > running {
            let objective_ms = self.objective_ms(job) as f64;
            let age_ms = now.saturating_sub(job.submitted_ms) as f64;
            let timely = critical_ms as f64 + age_ms <= objective_ms;
            if !timely && job.expected_timely.is_some() {
                input.late.push(job.id.clone());
            }
            let (queue, spec) = (&job.body.queue, &job.body.spec);
            let priority = self.terms(job).priority;
            input.rows.push(WaitingRow {
                rank: preferred_rank(
                    self.rank_of_work((queue, priority), spec, work, timely),
                    job.preferred,
                ),
                work: (work - running) as f64,
                critical_ms: critical_ms as f64,
                slack_ms: objective_ms - age_ms,
                late_ms: objective_ms * LATE_FACTOR - age_ms,
                utility: self.utility_of(queue, spec.work()),
                jobs: 1,
            });
        }
        work as f64
    }

    /// Returns the utility of a job of a queue with the given total work.
    pub(crate) fn utility_of(&self, queue: &str, work: u64) -> f64 {
        let mean = self.admission.sizes.mean_work(queue);
        job_utility(work, mean.unwrap_or(work as f64))
    }
}
