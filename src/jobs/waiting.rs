//! Jobs with tasks that may need placement, in the order in which they are placed.
//!
//! A placement pass tries a bounded number of jobs of each pool, so that its cost does not
//! grow with the backlog: first the jobs with the lowest ranks, then some of the others,
//! continuing after the last one that the previous pass tried. Ranks change with time; all
//! are recomputed after a period that grows with the number of jobs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::ops::Bound;

use crate::jobs::types::JobId;

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

/// Position of a job in the order of its pool.
pub type WaitingPosition = (JobRank, JobId);

/// Waiting jobs of a pool.
#[derive(Clone, Debug, Default)]
struct PoolOrder {
    jobs: BTreeSet<WaitingPosition>,
    /// Last job that the previous pass tried; none if it was the last of the pool.
    reached: Option<WaitingPosition>,
    /// Whether something has changed since the last pass.
    due: bool,
}

/// Waiting jobs of all pools.
#[derive(Clone, Debug, Default)]
pub struct WaitingJobs {
    pools: BTreeMap<String, PoolOrder>,
    /// Pool and rank of each ranked job.
    ranked: HashMap<JobId, (String, JobRank)>,
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
        if let Some((pool, rank)) = self.ranked.remove(id)
            && let Some(order) = self.pools.get_mut(&pool)
        {
            order.jobs.remove(&(rank, id.clone()));
        }
    }

    /// Sets the rank of a job in a pool and makes the pool due.
    pub fn set_rank(&mut self, id: &JobId, pool: &str, rank: JobRank) {
        self.remove(id);
        self.ranked.insert(id.clone(), (pool.to_owned(), rank));
        let order = self.pools.entry(pool.to_owned()).or_default();
        order.jobs.insert((rank, id.clone()));
        order.due = true;
    }

    /// Removes and returns the jobs to be ranked now: the unranked ones, or all jobs once
    /// their ranks are out of date.
    pub fn take_unranked(&mut self, now: u64) -> BTreeSet<JobId> {
        let period_ms = (self.ranked.len() as f64 * RANK_MS_PER_JOB) as u64;
        if now >= self.ranked_ms + period_ms.max(MIN_RANK_PERIOD_MS) {
            self.ranked_ms = now;
            self.unranked.extend(self.ranked.drain().map(|(id, _)| id));
            self.pools.values_mut().for_each(|order| order.jobs.clear());
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
            (due && !order.jobs.is_empty()).then(|| pool.clone())
        });
        due.collect()
    }

    /// Returns the next job of a pool after a position; without a position, the first one.
    #[must_use]
    pub fn next(&self, pool: &str, position: Option<&WaitingPosition>) -> Option<WaitingPosition> {
        let start = position.map_or(Bound::Unbounded, Bound::Excluded);
        let jobs = &self.pools.get(pool)?.jobs;
        jobs.range((start, Bound::Unbounded)).next().cloned()
    }

    /// Returns the position after which a pass continues once it has tried the jobs with
    /// the lowest ranks, up to `last`.
    #[must_use]
    pub fn resume_position(&self, pool: &str, last: WaitingPosition) -> WaitingPosition {
        let order = self.pools.get(pool);
        let reached = order.and_then(|order| order.reached.clone());
        reached.map_or(last.clone(), |reached| reached.max(last))
    }

    /// Records the last job that a pass tried; none if it was the last of the pool.
    pub fn set_reached(&mut self, pool: &str, reached: Option<WaitingPosition>) {
        if let Some(order) = self.pools.get_mut(pool) {
            order.reached = reached;
        }
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
