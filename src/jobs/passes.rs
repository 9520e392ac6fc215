//! Placement passes: which waiting jobs are tried, and in which order.
//!
//! A pass over a pool first tries the job with the lowest rank of each shape, then some of the
//! others, so that jobs that cannot be placed hold no others back (see
//! [`shapes`](crate::jobs::shapes)). Where the configuration has accounts, `place_shares` decides
//! whose jobs are next.

use crate::jobs::engine::JobEngine;
use crate::jobs::lanes::TryOutcome;
use crate::jobs::shapes::ShapePosition;
use crate::jobs::shapes::WaitingNeed;
use crate::jobs::shapes::job_shape;
use crate::jobs::share::JobLane;
use crate::jobs::types::JobId;
use crate::jobs::waiting::WaitingJobs;

/// Number of consecutive jobs without a fitting task after which a part of a pass ends.
/// The first part tries the first job of each shape from the lowest rank on, the second
/// continues where the previous pass stopped.
const MAX_MISSES: usize = 16;

/// Number of jobs that the first part of a pass tries besides, for which no worker is searched.
const MAX_SKIPS: usize = 64;

/// Number of jobs at their account's limit that a part of a pass tries besides. They are no
/// sign of a full pool, and cost only a look at the account.
pub(crate) const MAX_LIMITED: usize = 512;

/// Returns the job of a pool's lane that follows a position.
type NextJob = fn(&WaitingJobs, &str, &JobLane, Option<&ShapePosition>) -> Option<ShapePosition>;

impl JobEngine {
    /// Places the waiting tasks of the pools that are due as far as capacity allows.
    pub(crate) fn place_runs(&mut self, now: u64) {
        let unranked = self.waiting.take_unranked(now);
        if unranked.len() == 1
            && let Some(id) = unranked.first()
        {
            self.place_first(id, now);
        } else {
            self.rank_jobs(&unranked, now);
        }
        self.place_claimed(now);
        for pool in self.waiting.take_due_pools() {
            self.clear_unplaceable(&pool);
            self.place_common(&pool, now);
            if self.config.accounts.is_some() {
                self.place_by_share(&pool, now);
            }
        }
    }

    /// Ranks waiting jobs.
    fn rank_jobs<'a>(&mut self, ids: impl IntoIterator<Item = &'a JobId>, now: u64) {
        // Taken out so that the jobs can be read meanwhile.
        let mut waiting = std::mem::take(&mut self.waiting);
        for id in ids {
            let job = self.jobs.get(id).filter(|job| !job.state.is_final());
            let Some(job) = job else {
                waiting.remove(id);
                continue;
            };
            let (lane, least) = self.lane(job);
            let has_advice = self.advice_of(job).is_some();
            let need = WaitingNeed {
                least,
                shape: job_shape(job, has_advice, now),
            };
            waiting.set_rank(id, self.pool_of(job), &lane, self.rank(job, now), need);
        }
        self.waiting = waiting;
    }

    /// Places a job at once if no other one waits in its pool, as is usual while capacity is
    /// free; ranks it if it still waits then.
    fn place_first(&mut self, id: &JobId, now: u64) {
        let job = self.jobs.get(id).filter(|job| !job.state.is_final());
        let pool = job.map(|job| self.pool_of(job).to_owned());
        let Some(pool) = pool.filter(|pool| !self.waiting.has_ranked(pool)) else {
            return self.rank_jobs([id], now);
        };
        self.place_claimed(now);
        self.clear_unplaceable(&pool);
        if self.is_exhausted(id, now) || self.place_job(id, now).waits {
            self.rank_jobs([id], now);
            self.waiting.clear_due(&pool);
        }
    }

    fn clear_unplaceable(&mut self, pool: &str) {
        if let Some(unplaceable) = self.unplaceable.get_mut(pool) {
            unplaceable.clear();
        }
    }

    /// Places the jobs of a pool's common lane: the first of each shape, then others.
    fn place_common(&mut self, pool: &str, now: u64) {
        let lane = JobLane::Common;
        let last = self.place_after(pool, None, MAX_SKIPS, WaitingJobs::next_head, now);
        if last.is_none() && !self.waiting.has_same_shapes(pool, &lane) {
            return;
        }
        let position = self.waiting.resume(pool, &lane, last);
        let reached = self.place_after(pool, position, 0, WaitingJobs::next_resumed, now);
        self.waiting.set_reached(pool, &lane, reached);
    }

    /// Places the waiting jobs of a pool's common lane that `next` returns after a position, until
    /// [`MAX_MISSES`] consecutive ones had no fitting task, not counting `max_skips` for which no
    /// worker was searched, or [`MAX_LIMITED`] were at their account's limit. Returns the position
    /// of the last job tried, none if there is no further one.
    fn place_after(
        &mut self,
        pool: &str,
        mut position: Option<ShapePosition>,
        max_skips: usize,
        next: NextJob,
        now: u64,
    ) -> Option<ShapePosition> {
        let (mut misses, mut limited, mut skips) = (0, 0, 0);
        while misses < MAX_MISSES && limited < MAX_LIMITED {
            let next = next(&self.waiting, pool, &JobLane::Common, position.as_ref())?;
            match self.try_job(&next.1.1, now) {
                TryOutcome::Placed => misses = 0,
                TryOutcome::Limited => limited += 1,
                TryOutcome::Skipped if skips < max_skips => skips += 1,
                TryOutcome::Skipped | TryOutcome::Missed => misses += 1,
            }
            position = Some(next);
        }
        position
    }

    /// Places the tasks of a job; does not look for workers if its account's limit allows
    /// none of them.
    pub(crate) fn try_job(&mut self, id: &JobId, now: u64) -> TryOutcome {
        let (checks, searches) = (self.limits.failed_checks, self.searches);
        if self.is_exhausted(id, now) {
            TryOutcome::Limited
        } else if self.place_job(id, now).placed {
            TryOutcome::Placed
        } else if self.limits.failed_checks > checks {
            TryOutcome::Limited
        } else if self.searches == searches {
            TryOutcome::Skipped
        } else {
            TryOutcome::Missed
        }
    }
}
