//! Admission control: accepts a job if it gains its caller more than it costs others.
//!
//! The gain is the utility of the job times the probability that it completes in time,
//! the cost the expected utility that waiting jobs behind it lose by its work (see
//! [`price`](crate::jobs::price)). A refused caller benefits from an immediate answer. No
//! job is refused while the pool has free capacity and a backlog of less than 1 ms of its
//! capacity.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::jobs::callers::Submission;
use crate::jobs::engine::JobEngine;
use crate::jobs::load::PoolLoad;
use crate::jobs::price::JobAssessment;
use crate::jobs::price::LATE_FACTOR;
use crate::jobs::price::PriceTable;
use crate::jobs::price::WaitingRow;
use crate::jobs::price::timely_probability;
use crate::jobs::price_input::starting_cpu;
use crate::jobs::returns::PATIENCE_MS;
use crate::jobs::returns::RefusedJobs;
use crate::jobs::returns::ReturnRequest;
use crate::jobs::returns::ReturnSchedule;
use crate::jobs::size_guard::SizeGuard;
use crate::jobs::size_guard::preferred_rank;
use crate::jobs::types::JobId;
use crate::jobs::types::JobState;
use crate::metrics::REFUSED_JOBS;

/// Time over which the rate of arriving smaller jobs is determined, in milliseconds; the
/// time for which arrivals are kept.
const OVERTAKING_WINDOW_MS: u64 = 1000;

/// Minimum share of the capacity that is assumed to be left by arriving smaller jobs.
const MIN_LEFT_SHARE: f64 = 0.1;

/// What admission knows beside the loads of the pools.
#[derive(Clone, Debug, Default)]
pub struct AdmissionState {
    /// Moving average of the work of each queue's jobs, in millicore-milliseconds.
    pub mean_job_work: HashMap<String, f64>,
    /// When the loads and tables were last recomputed.
    pub loads_updated_ms: u64,
    /// Waiting work by pool, as of `loads_updated_ms`.
    pub tables: BTreeMap<String, PriceTable>,
    /// Submissions by size class.
    pub sizes: SizeGuard,
    /// Booked returns by pool.
    pub returns: BTreeMap<String, ReturnSchedule>,
    /// Jobs that were refused.
    pub refused: RefusedJobs,
}

/// Why a submission is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// It would complete after its utility is lost.
    Late,
    /// It would cost others more than it gains.
    Displaces,
    /// Its account exceeds its rate, and the pool has no free capacity.
    BeyondRate,
}

impl RefusalReason {
    /// Returns the name in log lines and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Displaces => "displaces",
            Self::BeyondRate => "beyond_rate",
        }
    }
}

/// A submission as admission judges it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobDemand {
    /// The job as if it were sent now for the first time.
    pub fresh: WaitingRow,
    /// The job with the time left from its first send; differs if it was refused before.
    pub row: WaitingRow,
    /// Millicores that it needs at its start.
    pub cpu: f64,
    /// Whether it was refused before.
    pub is_retry: bool,
    /// Whether its account exceeds its rate.
    pub beyond_rate: bool,
    /// Whether its size class is served too rarely.
    pub underserved: bool,
}

/// Returns whether a pool has free capacity and almost no backlog.
#[must_use]
pub fn is_calm(load: &PoolLoad) -> bool {
    load.capacity <= 0.0 || load.free > 0.0 && load.backlog < load.capacity
}

/// Decides on a submission to a pool that is not calm.
///
/// A retry is accepted if it or a new submission of the same job would be, unless its
/// utility is lost.
///
/// # Errors
///
/// Fails with the reason of a refusal and the assessment from the first send on.
pub fn decide(
    table: &PriceTable,
    demand: &JobDemand,
    now: u64,
) -> Result<JobAssessment, (RefusalReason, JobAssessment)> {
    let assessment = table.assess(&demand.row, demand.cpu, now);
    if assessment.projected_ms > demand.row.late_ms {
        return Err((RefusalReason::Late, assessment));
    }
    if table.has_room(demand.cpu) {
        return Ok(assessment);
    }
    if demand.beyond_rate {
        return Err((RefusalReason::BeyondRate, assessment));
    }
    let pays = |assessment: &JobAssessment| {
        let ties = demand.is_retry && assessment.gain > 0.0;
        assessment.gain > assessment.cost || ties && assessment.gain >= assessment.cost
    };
    if pays(&assessment) || demand.underserved {
        return Ok(assessment);
    }
    if demand.is_retry {
        let fresh = table.assess(&demand.fresh, demand.cpu, now);
        if pays(&fresh) {
            return Ok(fresh);
        }
    }
    Err((RefusalReason::Displaces, assessment))
}

/// What the scheduler keeps of a submission's admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmittedJob {
    /// When the job was first sent, on the boot clock in milliseconds.
    pub first_ms: u64,
    /// Whether it is placed before smaller jobs, as its size class is served too rarely.
    pub preferred: bool,
    /// Probability that it completes within its objective; none if that does not count.
    pub expected_timely: Option<f64>,
}

impl JobEngine {
    /// Accepts or refuses a submission and records an accepted job's work as load.
    ///
    /// Jobs that are long-running or recurring are always accepted.
    ///
    /// # Errors
    ///
    /// Fails with the delay before the caller should retry, in milliseconds.
    pub(crate) fn admit(&mut self, submission: &Submission, now: u64) -> Result<AdmittedJob, u64> {
        let pool = self.submission_pool(submission).to_owned();
        let terms = self.submission_terms(submission).unwrap_or_default();
        let spec = &submission.spec;
        if spec.has_long_running_step() || spec.schedule.is_some() {
            return Ok(AdmittedJob {
                first_ms: now,
                preferred: false,
                expected_timely: None,
            });
        }
        let objective_ms = spec.critical_path_ms() as f64 * terms.slack + terms.target_ms as f64;
        let work = spec.work();
        let first_ms = self.admission.refused.first_send_ms(&submission.id, now);
        if first_ms.is_none() {
            // Refused jobs count too: the means are those of what callers submit.
            self.record_work(&submission.queue, work);
            self.admission.sizes.record_offer(&submission.queue, work);
        }
        let demand = self.demand(submission, objective_ms, first_ms, now);
        let load = self.pool_load(&pool);
        let table = self.admission.tables.get(&pool);
        // A calm pool may lack the capacity for this job, which a job beyond the rate needs.
        let table = table.filter(|_| submission.beyond_rate || !is_calm(&load));
        let decision = table.map(|table| decide(table, &demand, now)).transpose();
        if let Err((reason, assessment)) = decision {
            let retry_ms = self.book_return(&pool, submission, &demand, (reason, assessment), now);
            log::info!(
                event = "job_refused", job = &*submission.id, reason = reason.as_str(),
                pool = pool.as_str(), capacity = load.capacity as u64, backlog = load.backlog as u64,
                objective_ms = objective_ms as u64, retry_ms = retry_ms, gain = assessment.gain,
                cost = assessment.cost, projected_ms = assessment.projected_ms as u64; ""
            );
            let labels = [("pool", pool), ("reason", reason.as_str().to_owned())];
            metrics::counter!(REFUSED_JOBS, &labels).increment(1);
            return Err(retry_ms);
        }
        let probability = decision.ok().flatten().map_or(1.0, |assessment| {
            self.served_probability(&pool, &demand, &assessment, now)
        });
        self.record_arrival(&pool, work, now);
        self.admission
            .sizes
            .record_served(&submission.queue, work, probability);
        if let Some(load) = self.loads.get_mut(&pool) {
            load.backlog += work as f64;
        }
        if let Some(table) = self.admission.tables.get_mut(&pool) {
            table.insert(&demand.row, demand.cpu, now);
        }
        self.admission.refused.remove(&submission.id);
        Ok(AdmittedJob {
            first_ms: first_ms.unwrap_or(now),
            preferred: demand.underserved,
            expected_timely: Some(probability),
        })
    }

    /// Returns the probability that an accepted job completes within its objective, with
    /// the smaller jobs taken into account that will arrive and go before it.
    fn served_probability(
        &self,
        pool: &str,
        demand: &JobDemand,
        assessment: &JobAssessment,
        now: u64,
    ) -> f64 {
        let row = &demand.row;
        let table = self.admission.tables.get(pool);
        let arrivals = self.lending.arrivals.get(pool).into_iter().flatten().rev();
        let recent = arrivals.take_while(|(at, _)| at + OVERTAKING_WINDOW_MS >= now);
        let smaller = recent.filter(|(_, work)| (*work as f64) < row.work && !demand.underserved);
        let rate = smaller.map(|(_, work)| *work as f64).sum::<f64>() / OVERTAKING_WINDOW_MS as f64;
        let capacity = table.map_or(1.0, |table| table.supply.capacity.max(1.0));
        let left = (1.0 - rate / capacity).max(MIN_LEFT_SHARE);
        let wait_ms = (assessment.projected_ms - row.critical_ms) / left;
        timely_probability(wait_ms + row.critical_ms, row.slack_ms)
    }

    /// Replaces the probability with which a job counts as in time by its outcome; a job
    /// that has not completed is late.
    pub(crate) fn settle_size_count(&mut self, id: &JobId, now: u64) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let age_ms = now.saturating_sub(job.submitted_ms);
        let timely = job.state == JobState::Completed && age_ms <= self.objective_ms(job);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(expected) = job.expected_timely.take() {
            let change = f64::from(u8::from(timely)) - expected;
            let (queue, work) = (&job.body.queue, job.body.spec.work());
            self.admission.sizes.record_served(queue, work, change);
        }
    }

    /// Returns a submission as admission judges it.
    fn demand(
        &self,
        submission: &Submission,
        objective_ms: f64,
        first_ms: Option<u64>,
        now: u64,
    ) -> JobDemand {
        let (queue, spec) = (&submission.queue, &submission.spec);
        let (work, critical_ms) = (spec.work(), spec.critical_path_ms() as f64);
        let terms = self.submission_terms(submission).unwrap_or_default();
        let age_ms = first_ms.map_or(0, |first_ms| now.saturating_sub(first_ms)) as f64;
        let underserved = self.admission.sizes.is_underserved(queue, work);
        let row = |age_ms: f64| WaitingRow {
            rank: preferred_rank(
                self.rank_of_work(
                    (queue, terms.priority),
                    spec,
                    work,
                    critical_ms + age_ms <= objective_ms,
                ),
                underserved,
            ),
            work: work as f64,
            critical_ms,
            slack_ms: objective_ms - age_ms,
            late_ms: objective_ms * LATE_FACTOR - age_ms,
            utility: self.utility_of(queue, work),
            jobs: 1,
        };
        JobDemand {
            fresh: row(0.0),
            row: row(age_ms),
            cpu: starting_cpu(spec),
            is_retry: first_ms.is_some(),
            beyond_rate: submission.beyond_rate,
            underserved,
        }
    }

    /// Records a refusal and returns the delay before the caller should retry, in
    /// milliseconds.
    fn book_return(
        &mut self,
        pool: &str,
        submission: &Submission,
        demand: &JobDemand,
        (reason, assessment): (RefusalReason, JobAssessment),
        now: u64,
    ) -> u64 {
        let Some(table) = self.admission.tables.get(pool) else {
            return PATIENCE_MS;
        };
        self.admission.refused.record(&submission.id, now);
        let row = &demand.row;
        let free_ms = table.backlog_ms(now);
        let timely_ms = row.slack_ms - row.critical_ms;
        let room_ms = match reason {
            RefusalReason::Late => assessment.projected_ms - row.slack_ms,
            // A retry within the objective may find that those behind it are done.
            RefusalReason::Displaces => free_ms.min(timely_ms),
            RefusalReason::BeyondRate => free_ms,
        };
        let first_ms = self.admission.refused.first_send_ms(&submission.id, now);
        let age_ms = now.saturating_sub(first_ms.unwrap_or(now));
        let request = ReturnRequest {
            work: row.work,
            utility: row.utility,
            room_ms,
            timely_ms,
            useful_ms: row.late_ms - row.critical_ms,
            free_ms,
            patience_ms: PATIENCE_MS.saturating_sub(age_ms) as f64,
        };
        let capacity = table.supply.capacity;
        let returns = self.admission.returns.entry(pool.to_owned()).or_default();
        returns.book(&request, capacity, now)
    }
}
