//! Placement of the waiting jobs of client accounts, in the order of the accounts' shares.
//!
//! A pass serves the account with the lowest weighted share first and computes its share
//! anew after each job. An account whose jobs fit nowhere is left after a few jobs, and one
//! whose limit allows none of its tasks is skipped; neither blocks another one. The pass is
//! bounded: it tries at most [`MAX_PASS_MISSES`] jobs without a fitting task in the order of
//! shares, and [`MAX_ROTATION_MISSES`] more after the account where the previous pass
//! stopped. In each of both parts, it tries [`MAX_LIMITED`] jobs besides that are at their
//! account's limit, and looks at [`MAX_PASS_SKIPS`] accounts of which no task can start. All
//! other tries place a task. It ends as soon as no task of any account can fit.

use std::collections::HashMap;

use crate::jobs::account::AccountName;
use crate::jobs::engine::JobEngine;
use crate::jobs::job::JobEntry;
use crate::jobs::lanes::TryOutcome;
use crate::jobs::ledger::allows_task;
use crate::jobs::passes::MAX_LIMITED;
use crate::jobs::share::JobLane;
use crate::jobs::share::weighted_share;
use crate::jobs::types::JobId;
use crate::jobs::types::ResourceVector;

/// Maximum number of jobs without a fitting task in the part of a pass that follows the
/// shares; several accounts with jobs that fit nowhere leave some for the others.
const MAX_PASS_MISSES: usize = 64;

/// The same in the part of a pass that continues where the previous one stopped.
const MAX_ROTATION_MISSES: usize = 16;

/// Maximum number of accounts without a task that can start that each part of a pass looks at.
const MAX_PASS_SKIPS: usize = 256;

/// Time between two computations of the pools' capacity, in milliseconds. Only the ratio of
/// CPU to memory in a pool matters for the order, and it changes as VMs move.
const CAPACITY_MS: u64 = 250;

/// What a part of a pass may still try.
#[derive(Clone, Copy, Debug)]
struct PassBudget {
    misses: usize,
    limited: usize,
    skips: usize,
}

impl PassBudget {
    fn new(misses: usize) -> Self {
        Self {
            misses,
            limited: MAX_LIMITED,
            skips: MAX_PASS_SKIPS,
        }
    }

    fn is_left(&self) -> bool {
        self.misses > 0 && self.skips > 0
    }

    /// Charges a try and returns as what it counts: jobs at their account's limit count as
    /// misses once those that a part tries besides are used up.
    fn charge(&mut self, outcome: TryOutcome) -> TryOutcome {
        match outcome {
            TryOutcome::Placed => outcome,
            TryOutcome::Limited | TryOutcome::Skipped if self.limited > 0 => {
                self.limited -= 1;
                outcome
            }
            TryOutcome::Limited | TryOutcome::Skipped | TryOutcome::Missed => {
                self.misses = self.misses.saturating_sub(1);
                TryOutcome::Missed
            }
        }
    }
}

impl JobEngine {
    /// Returns the lane of a job, and a lower bound of what a task of it needs.
    pub(crate) fn lane(&self, job: &JobEntry) -> (JobLane, ResourceVector) {
        if self.config.accounts.is_none() {
            return (JobLane::Common, ResourceVector::default());
        }
        let spec = &job.body.spec;
        let account = job.body.account.as_ref();
        let lane = match account {
            Some(account) if job.beyond_rate => JobLane::BeyondRate(account.clone()),
            _ if spec.has_long_running_step() => JobLane::Common,
            _ => JobLane::Account(account.cloned()),
        };
        let needs = spec.steps.iter().map(|step| step.reserved());
        let least = needs.reduce(|one, other| ResourceVector {
            cpu: one.cpu.min(other.cpu),
            memory_mb: one.memory_mb.min(other.memory_mb),
            gpu: one.gpu.min(other.gpu),
        });
        (lane, least.unwrap_or_default())
    }

    /// Makes the next pass compute the share of a job's account, whose usage has changed.
    pub(crate) fn mark_share(&mut self, id: &JobId) {
        if self.config.accounts.is_none() {
            return;
        }
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        // Usually nothing waits.
        if self.waiting.has_accounts(self.pool_of(job)) {
            let (pool, account) = (self.pool_of(job).to_owned(), job.body.account.clone());
            self.waiting.mark_shares(Some(&pool), account.as_ref());
        }
    }

    /// Places the waiting jobs of a pool's accounts by share.
    pub(crate) fn place_by_share(&mut self, pool: &str, now: u64) {
        self.waiting.begin_pass(pool);
        let mut budget = PassBudget::new(MAX_PASS_MISSES);
        if let Some(lane) = self.waiting.only_lane(pool) {
            // No order is needed. This is the usual case of a pool with free capacity, where
            // only the job waits that has just been submitted or of which a run has ended.
            while self.try_lane(pool, &lane, &mut budget, now) {}
            if self.waiting.has_lane(pool, &lane) {
                self.waiting.mark_shares(Some(pool), lane.account());
            }
            return;
        }
        self.update_capacities(now);
        for lane in self.waiting.take_outdated(pool) {
            self.update_share(pool, &lane);
        }
        let mut after = None;
        while let Some(next) = self.waiting.next_lane(pool, after.as_ref()) {
            if self.is_full(pool, None) {
                return;
            }
            if !budget.is_left() {
                return self.place_in_rotation(pool, now);
            }
            if self.try_lane(pool, &next.1, &mut budget, now) {
                self.update_account(pool, next.1.account());
            } else {
                after = Some(next);
            }
        }
    }

    /// Continues a pass that has used up its tries after the account where the previous pass
    /// stopped, so that each account gets its turn.
    fn place_in_rotation(&mut self, pool: &str, now: u64) {
        let mut budget = PassBudget::new(MAX_ROTATION_MISSES);
        let mut lane = self.waiting.rotation(pool);
        for _ in 0..self.waiting.lanes(pool) {
            let following = self.waiting.following_lane(pool, &lane);
            let Some(following) = following.filter(|_| budget.is_left()) else {
                break;
            };
            lane = following;
            if self.try_lane(pool, &lane, &mut budget, now) {
                self.update_account(pool, lane.account());
            }
        }
        self.waiting.set_rotation(pool, lane);
    }

    /// Tries the next jobs of a lane until a task is placed, which is returned.
    fn try_lane(&mut self, pool: &str, lane: &JobLane, budget: &mut PassBudget, now: u64) -> bool {
        if self.is_full(pool, Some(lane)) || self.waits_for_limit(pool, lane, now) {
            budget.skips = budget.skips.saturating_sub(1);
            return false;
        }
        while budget.misses > 0
            && let Some(id) = self.waiting.next_try(pool, lane)
        {
            let outcome = budget.charge(self.try_job(&id, now));
            self.waiting.record_try(pool, lane, outcome);
            if outcome == TryOutcome::Placed {
                return true;
            }
            if self.is_full(pool, Some(lane)) || self.is_at_limit(pool, lane) {
                return false;
            }
        }
        // Left without a job to try.
        budget.skips = budget.skips.saturating_sub(1);
        false
    }

    /// Returns whether no task of a lane can fit, as one that needs no more found no worker
    /// in this pass; without a lane, no task of any account.
    fn is_full(&self, pool: &str, lane: Option<&JobLane>) -> bool {
        let least = self.waiting.least_need(pool, lane);
        let unplaceable = self.unplaceable.get(pool);
        least
            .zip(unplaceable)
            .is_some_and(|(need, unplaceable)| unplaceable.includes(&need))
    }

    /// Returns whether the limit of a lane's account allows none of its tasks.
    fn is_at_limit(&self, pool: &str, lane: &JobLane) -> bool {
        let Some(account) = lane.account() else {
            return false;
        };
        let config = self.account_config(account);
        let least = self.waiting.least_need(pool, Some(lane));
        config.zip(least).is_some_and(|(config, need)| {
            !allows_task(&config.limit, &self.ledger.usage(account), &need)
        })
    }

    /// Returns whether the limit of a lane's account allows none of its tasks; the pool is
    /// then due once a run of the account ends.
    fn waits_for_limit(&mut self, pool: &str, lane: &JobLane, now: u64) -> bool {
        if !self.is_at_limit(pool, lane) {
            return false;
        }
        let first = self.waiting.next_head(pool, lane, None);
        first.is_some_and(|(_, (_, id))| self.is_exhausted(&id, now))
    }

    /// Computes the shares of an account in a pool.
    fn update_account(&mut self, pool: &str, account: Option<&AccountName>) {
        for lane in JobLane::of_account(account) {
            if self.waiting.has_lane(pool, &lane) {
                self.update_share(pool, &lane);
            }
        }
    }

    fn update_share(&mut self, pool: &str, lane: &JobLane) {
        let account = lane.account();
        let config = account.and_then(|account| self.account_config(account));
        // Jobs of an account that is no longer configured have the weight of those without.
        let weight = config.map_or(self.accounts.mean_weight, |config| config.weight);
        let capacity = self.accounts.capacity.get(pool).copied();
        let usage = self.ledger.pool_usage(pool, account);
        let share = weighted_share(&usage, &capacity.unwrap_or_default(), weight);
        self.waiting.set_share(pool, lane, lane.position(share));
    }

    /// Computes the pools' capacities if that is due, and all shares if they have changed.
    fn update_capacities(&mut self, now: u64) {
        let updated_ms = self.accounts.capacity_ms;
        if updated_ms.is_some_and(|updated_ms| now < updated_ms + CAPACITY_MS) {
            return;
        }
        self.accounts.capacity_ms = Some(now);
        let mut capacities: HashMap<String, ResourceVector> = HashMap::new();
        for view in self
            .workers
            .values()
            .filter(|view| view.is_schedulable(now))
        {
            match capacities.get_mut(&view.entry.pool) {
                Some(sum) => sum.add(&view.entry.capacity),
                None => {
                    capacities.insert(view.entry.pool.clone(), view.entry.capacity);
                }
            }
        }
        // Without a former time, weights may have changed.
        if updated_ms.is_none() || capacities != self.accounts.capacity {
            self.accounts.capacity = capacities;
            self.waiting.mark_shares(None, None);
        }
    }
}
