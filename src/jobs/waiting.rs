//! Jobs with tasks that may need placement, in the order in which they are placed.
//!
//! The jobs of a pool are in lanes: one if the configuration has no accounts, else one for
//! each account, and one for its jobs beyond its rate. A job's rank orders it in its lane.
//!
//! A placement pass tries a bounded number of jobs of each pool, so that its cost does not
//! grow with the backlog: first the jobs with the lowest ranks, then some of the others,
//! continuing after the last one that the previous pass tried. Ranks change with time; all
//! are recomputed after a period that grows with the number of jobs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::ops::Bound;

use crate::jobs::account::AccountName;
use crate::jobs::lanes::LaneOrder;
use crate::jobs::lanes::PoolOrder;
use crate::jobs::lanes::TryOutcome;
use crate::jobs::lanes::lower_bound;
use crate::jobs::lanes::next_job;
use crate::jobs::share::JobLane;
use crate::jobs::share::SharePosition;
use crate::jobs::types::JobId;
use crate::jobs::types::ResourceVector;

/// Minimum time between two computations of all ranks, in milliseconds.
const MIN_RANK_PERIOD_MS: u64 = 50;

/// Time between two computations of all ranks for each waiting job, in milliseconds, so
/// that ranking uses a constant share of CPU time as the number of jobs grows.
const RANK_MS_PER_JOB: f64 = 0.25;

/// Rank of a waiting job; the lowest is placed first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobRank {
    /// 0 for long-running jobs, 1 for timely and 2 for late ones.
    pub class: u32,
    /// Priority of the queue; the lowest value is placed first.
    pub priority: u32,
    /// Remaining work divided by the job's value, relative to the queue's mean work.
    pub work_per_value: f64,
}

impl Eq for JobRank {}

impl Ord for JobRank {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        let (own, others) = (self.work_per_value, other.work_per_value);
        let classes = (self.class, self.priority).cmp(&(other.class, other.priority));
        classes.then(own.total_cmp(&others))
    }
}

impl PartialOrd for JobRank {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Position of a job in its lane.
pub type WaitingPosition = (JobRank, JobId);

/// Waiting jobs of all pools.
#[derive(Clone, Debug, Default)]
pub struct WaitingJobs {
    pools: BTreeMap<String, PoolOrder>,
    /// Pool, lane and rank of each ranked job.
    ranked: HashMap<JobId, (String, JobLane, JobRank)>,
    /// Jobs without a rank.
    unranked: BTreeSet<JobId>,
    /// When all ranks were last computed, on the boot clock in milliseconds.
    ranked_ms: u64,
}

impl WaitingJobs {
    /// Adds a job; one that is waiting already keeps its rank.
    pub fn insert(&mut self, id: &JobId) {
        if !self.ranked.contains_key(id) {
            self.unranked.insert(id.clone());
        }
    }

    /// Removes a job that needs no placement any more.
    pub fn remove(&mut self, id: &JobId) {
        self.unranked.remove(id);
        if let Some((pool, lane, rank)) = self.ranked.remove(id)
            && let Some(order) = self.pools.get_mut(&pool)
            && let Some(jobs) = order.lanes.get_mut(&lane).map(|lane| &mut lane.jobs)
        {
            jobs.remove(&(rank, id.clone()));
            if jobs.is_empty() && lane != JobLane::Common {
                order.remove_lane(&lane);
            }
        }
    }

    /// Sets the rank of a job in a lane of a pool and makes the pool due. `least_need` is a
    /// lower bound of what a task of the job needs; it is not used in the common lane.
    pub fn set_rank(
        &mut self,
        id: &JobId,
        pool: &str,
        lane: &JobLane,
        rank: JobRank,
        least_need: ResourceVector,
    ) {
        self.remove(id);
        let ranked = (pool.to_owned(), lane.clone(), rank);
        self.ranked.insert(id.clone(), ranked);
        let order = self.pools.entry(pool.to_owned()).or_default();
        order.due = true;
        let position = (rank, id.clone());
        if let Some(lane) = order.lanes.get_mut(lane) {
            lane.jobs.insert(position);
            lane.least_need = Some(lower_bound(lane.least_need, least_need));
        } else {
            let added = LaneOrder::new(position, least_need);
            order.lanes.insert(lane.clone(), added);
            if *lane != JobLane::Common {
                order.outdated.insert(lane.clone());
            }
        }
        if *lane != JobLane::Common {
            order.least_need = Some(lower_bound(order.least_need, least_need));
        }
    }

    /// Makes the next pass rank all jobs anew.
    pub fn expire_ranks(&mut self) {
        self.unranked.extend(self.ranked.keys().cloned());
        self.ranked.clear();
        self.pools.values_mut().for_each(PoolOrder::clear);
    }

    /// Removes and returns the jobs to be ranked now: the unranked ones, or all jobs once
    /// their ranks are out of date.
    pub fn take_unranked(&mut self, now: u64) -> BTreeSet<JobId> {
        let period_ms = (self.ranked.len() as f64 * RANK_MS_PER_JOB) as u64;
        if now >= self.ranked_ms + period_ms.max(MIN_RANK_PERIOD_MS) {
            self.ranked_ms = now;
            self.unranked.extend(self.ranked.drain().map(|(id, _)| id));
            self.pools.values_mut().for_each(PoolOrder::clear);
        }
        std::mem::take(&mut self.unranked)
    }

    /// Makes the next pass try the jobs of a pool.
    pub fn mark_due(&mut self, pool: &str) {
        if let Some(order) = self.pools.get_mut(pool) {
            order.due = true;
        }
    }

    /// Makes the next pass try the jobs of all pools.
    pub fn mark_all_due(&mut self) {
        self.pools.values_mut().for_each(|order| order.due = true);
    }

    /// Returns the due pools that have waiting jobs; no pool is due afterwards.
    pub fn take_due_pools(&mut self) -> Vec<String> {
        let due = self.pools.iter_mut().filter_map(|(pool, order)| {
            let due = std::mem::take(&mut order.due);
            if due && std::mem::take(&mut order.cleared) {
                order.remove_empty_lanes();
            }
            let waiting = order.lanes.values().any(|lane| !lane.jobs.is_empty());
            (due && waiting).then(|| pool.clone())
        });
        due.collect()
    }

    /// Returns the next job of a lane after a position; without a position, the first one.
    #[must_use]
    pub fn next(
        &self,
        pool: &str,
        lane: &JobLane,
        position: Option<&WaitingPosition>,
    ) -> Option<WaitingPosition> {
        next_job(&self.pools.get(pool)?.lanes.get(lane)?.jobs, position)
    }

    /// Returns the position in the common lane after which a pass continues once it has tried
    /// the jobs with the lowest ranks, up to `last`.
    #[must_use]
    pub fn resume_position(&self, pool: &str, last: WaitingPosition) -> WaitingPosition {
        let order = self.pools.get(pool);
        let lane = order.and_then(|order| order.lanes.get(&JobLane::Common));
        let reached = lane.and_then(|lane| lane.reached.clone());
        reached.map_or(last.clone(), |reached| reached.max(last))
    }

    /// Records the last job of the common lane that a pass tried; none if it was the last one.
    pub fn set_reached(&mut self, pool: &str, reached: Option<WaitingPosition>) {
        let order = self.pools.get_mut(pool);
        if let Some(lane) = order.and_then(|order| order.lanes.get_mut(&JobLane::Common)) {
            lane.reached = reached;
        }
    }

    /// Begins a pass over the lanes of a pool's accounts.
    pub fn begin_pass(&mut self, pool: &str) {
        if let Some(order) = self.pools.get_mut(pool) {
            order.pass += 1;
        }
    }

    /// Returns the lanes of a pool whose share must be computed; none is left afterwards.
    pub fn take_outdated(&mut self, pool: &str) -> BTreeSet<JobLane> {
        let order = self.pools.get_mut(pool);
        order.map_or_else(BTreeSet::new, |order| std::mem::take(&mut order.outdated))
    }

    /// Returns the lane of a pool in which jobs wait if there is only one, of an account.
    #[must_use]
    pub fn only_lane(&self, pool: &str) -> Option<JobLane> {
        let lanes = &self.pools.get(pool)?.lanes;
        let mut waiting = lanes.keys().filter(|lane| **lane != JobLane::Common);
        let first = waiting.next()?;
        waiting.next().is_none().then(|| first.clone())
    }

    /// Makes the next pass compute the shares of an account in a pool; without a pool, of all
    /// accounts in all pools.
    pub fn mark_shares(&mut self, pool: Option<&str>, account: Option<&AccountName>) {
        let Some(pool) = pool else {
            for order in self.pools.values_mut() {
                let lanes = order.lanes.keys().filter(|lane| **lane != JobLane::Common);
                order.outdated.extend(lanes.cloned());
            }
            return;
        };
        let Some(order) = self.pools.get_mut(pool) else {
            return;
        };
        for lane in JobLane::of_account(account) {
            if order.lanes.contains_key(&lane) {
                order.outdated.insert(lane);
            }
        }
    }

    /// Sets the position of a lane among the lanes of its pool, if it has waiting jobs.
    pub fn set_share(&mut self, pool: &str, lane: &JobLane, position: SharePosition) {
        if let Some(order) = self.pools.get_mut(pool)
            && order.lanes.contains_key(lane)
        {
            order.shares.set(lane, position);
        }
    }

    /// Returns the next lane of a pool in the order of shares.
    #[must_use]
    pub fn next_lane(
        &self,
        pool: &str,
        after: Option<&(SharePosition, JobLane)>,
    ) -> Option<(SharePosition, JobLane)> {
        self.pools.get(pool)?.shares.next(after)
    }

    /// Returns the account lane of a pool that follows another one by name, the first one
    /// after the last.
    #[must_use]
    pub fn following_lane(&self, pool: &str, lane: &JobLane) -> Option<JobLane> {
        let lanes = &self.pools.get(pool)?.lanes;
        let after = |lane: &JobLane| {
            let mut range = lanes.range((Bound::Excluded(lane), Bound::Unbounded));
            range.next().map(|(lane, _)| lane.clone())
        };
        after(lane).or_else(|| after(&JobLane::Common))
    }

    /// Returns the lane after which a pass continues that has run out of tries.
    #[must_use]
    pub fn rotation(&self, pool: &str) -> JobLane {
        let order = self.pools.get(pool);
        let rotation = order.and_then(|order| order.rotation.clone());
        rotation.unwrap_or_default()
    }

    /// Sets the lane after which the next pass continues.
    pub fn set_rotation(&mut self, pool: &str, lane: JobLane) {
        if let Some(order) = self.pools.get_mut(pool) {
            order.rotation = Some(lane);
        }
    }

    /// Returns whether jobs of accounts wait in a pool.
    #[must_use]
    pub fn has_accounts(&self, pool: &str) -> bool {
        let order = self.pools.get(pool);
        let last = order.and_then(|order| order.lanes.last_key_value());
        last.is_some_and(|(lane, _)| *lane != JobLane::Common)
    }

    /// Returns whether a lane of a pool has waiting jobs.
    #[must_use]
    pub fn has_lane(&self, pool: &str, lane: &JobLane) -> bool {
        let order = self.pools.get(pool);
        order.is_some_and(|order| order.lanes.contains_key(lane))
    }

    /// Returns the number of lanes of a pool, including the common one.
    #[must_use]
    pub fn lanes(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, |order| order.lanes.len())
    }

    /// Returns a lower bound of what a task of a lane needs; without a lane, of what a task
    /// of any account in the pool needs.
    #[must_use]
    pub fn least_need(&self, pool: &str, lane: Option<&JobLane>) -> Option<ResourceVector> {
        let order = self.pools.get(pool)?;
        match lane {
            Some(lane) => order.lanes.get(lane)?.least_need,
            None => order.least_need,
        }
    }

    /// Returns the next job of a lane that the current pass should try; none once it should
    /// leave the lane.
    pub fn next_try(&mut self, pool: &str, lane: &JobLane) -> Option<JobId> {
        self.pools.get_mut(pool)?.next_try(lane)
    }

    /// Records the result of the last try in a lane.
    pub fn record_try(&mut self, pool: &str, lane: &JobLane, outcome: TryOutcome) {
        if let Some(order) = self.pools.get_mut(pool) {
            order.record_try(lane, outcome);
        }
    }

    /// Returns whether jobs wait in a pool, or have not been tried yet.
    #[must_use]
    pub fn is_pool_waiting(&self, pool: &str) -> bool {
        let order = self.pools.get(pool);
        let mut lanes = order.into_iter().flat_map(|order| order.lanes.values());
        !self.unranked.is_empty() || lanes.any(|lane| !lane.jobs.is_empty())
    }

    /// Returns the number of waiting jobs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ranked.len() + self.unranked.len()
    }

    /// Returns whether no job is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
