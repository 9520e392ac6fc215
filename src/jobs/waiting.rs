//! Jobs with tasks that may need placement, in the order in which they are placed.
//!
//! The jobs of a pool are in lanes: one if the configuration has no accounts, else one for
//! each account, and one for its jobs beyond its rate. A job's rank orders it in its lane.
//!
//! A placement pass tries a bounded number of jobs of each pool, so that its cost does not
//! grow with the backlog: first the one with the lowest rank of each shape, then some of the
//! others, continuing after the last one that the previous pass tried. Ranks change with time; all
//! are recomputed after a period that grows with the number of jobs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use crate::jobs::lanes::LaneOrder;
use crate::jobs::lanes::PoolOrder;
use crate::jobs::lanes::lower_bound;
use crate::jobs::shapes::ShapeKey;
use crate::jobs::shapes::ShapePosition;
use crate::jobs::shapes::WaitingNeed;
use crate::jobs::share::JobLane;
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

/// Position of a job in its lane.
pub type WaitingPosition = (JobRank, JobId);

/// Where a ranked job waits.
#[derive(Clone, Debug, PartialEq)]
struct RankedJob {
    pool: Arc<str>,
    lane: JobLane,
    rank: JobRank,
    shape: ShapeKey,
}

/// Waiting jobs of all pools.
#[derive(Clone, Debug, Default)]
pub struct WaitingJobs {
    pub(crate) pools: BTreeMap<Arc<str>, PoolOrder>,
    /// Each ranked job.
    ranked: HashMap<JobId, RankedJob>,
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
        if let Some(ranked) = self.ranked.remove(id) {
            self.remove_ranked(id, &ranked);
        }
    }

    fn remove_ranked(&mut self, id: &JobId, ranked: &RankedJob) {
        if let Some(order) = self.pools.get_mut(&ranked.pool)
            && let Some(lane) = order.lanes.get_mut(&ranked.lane)
        {
            lane.jobs.remove(&(ranked.rank, id.clone()), ranked.shape);
            if lane.jobs.is_empty() && ranked.lane != JobLane::Common {
                order.remove_lane(&ranked.lane);
            }
        }
    }

    /// Sets the rank of a job in a lane of a pool and makes the pool due.
    pub fn set_rank(
        &mut self,
        id: &JobId,
        pool: &str,
        lane: &JobLane,
        rank: JobRank,
        need: WaitingNeed,
    ) {
        self.unranked.remove(id);
        let known = self.pools.get_key_value(pool);
        let ranked = RankedJob {
            pool: known.map_or_else(|| pool.into(), |(name, _)| Arc::clone(name)),
            lane: lane.clone(),
            rank,
            shape: need.shape,
        };
        let name = Arc::clone(&ranked.pool);
        let is_kept = self.ranked.get(id) == Some(&ranked);
        if !is_kept && let Some(former) = self.ranked.insert(id.clone(), ranked) {
            self.remove_ranked(id, &former);
        }
        let order = self.pools.entry(name).or_default();
        order.due = true;
        let position = (rank, id.clone());
        if let Some(lane) = order.lanes.get_mut(lane) {
            if !is_kept {
                lane.jobs.insert(position, need.shape);
            }
            lane.least_need = Some(lower_bound(lane.least_need, need.least));
        } else {
            let added = LaneOrder::new(position, need);
            order.lanes.insert(lane.clone(), added);
            if *lane != JobLane::Common {
                order.outdated.insert(lane.clone());
            }
        }
        if *lane != JobLane::Common {
            order.least_need = Some(lower_bound(order.least_need, need.least));
        }
    }

    /// Makes the next pass rank all jobs anew.
    pub fn expire_ranks(&mut self) {
        self.unranked.extend(self.ranked.keys().cloned());
        self.ranked.clear();
        self.pools.values_mut().for_each(PoolOrder::clear);
    }

    /// Returns the jobs to be ranked now: the unranked ones, or all jobs once their ranks are out
    /// of date. Each must be given a rank or removed.
    pub fn take_unranked(&mut self, now: u64) -> BTreeSet<JobId> {
        let period_ms = (self.ranked.len() as f64 * RANK_MS_PER_JOB) as u64;
        if now >= self.ranked_ms + period_ms.max(MIN_RANK_PERIOD_MS) {
            self.ranked_ms = now;
            self.unranked.extend(self.ranked.keys().cloned());
            self.pools.values_mut().for_each(PoolOrder::reset_bounds);
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
            (due && waiting).then(|| pool.to_string())
        });
        due.collect()
    }

    /// Returns the job of a lane after a position that is the first of its shape, in the order of
    /// ranks; without a position, the one with the lowest rank.
    #[must_use]
    pub fn next_head(
        &self,
        pool: &str,
        lane: &JobLane,
        position: Option<&ShapePosition>,
    ) -> Option<ShapePosition> {
        self.lane(pool, lane)?.jobs.next_head(position)
    }

    /// Begins the part of a pass over a lane that continues where a previous pass stopped; returns
    /// the position after which it does. `last` is the last job that the pass has tried of those
    /// that are the first of their shape, if others are left.
    pub fn resume(
        &mut self,
        pool: &str,
        lane: &JobLane,
        last: Option<ShapePosition>,
    ) -> Option<ShapePosition> {
        self.lane_mut(pool, lane)?.resume(last)
    }

    /// Returns whether a lane has jobs besides those that are the first of their shape.
    #[must_use]
    pub fn has_same_shapes(&self, pool: &str, lane: &JobLane) -> bool {
        self.lane(pool, lane)
            .is_some_and(|lane| !lane.jobs.are_heads())
    }

    /// Returns the next job of a lane to try in that part.
    #[must_use]
    pub fn next_resumed(
        &self,
        pool: &str,
        lane: &JobLane,
        position: Option<&ShapePosition>,
    ) -> Option<ShapePosition> {
        self.lane(pool, lane)?.next_resumed(position)
    }

    /// Records the last job of a lane that this part tried; none if it was the last one.
    pub fn set_reached(&mut self, pool: &str, lane: &JobLane, reached: Option<ShapePosition>) {
        if let Some(lane) = self.lane_mut(pool, lane) {
            lane.set_reached(reached);
        }
    }

    fn lane(&self, pool: &str, lane: &JobLane) -> Option<&LaneOrder> {
        self.pools.get(pool)?.lanes.get(lane)
    }

    fn lane_mut(&mut self, pool: &str, lane: &JobLane) -> Option<&mut LaneOrder> {
        self.pools.get_mut(pool)?.lanes.get_mut(lane)
    }

    /// Returns whether a ranked job waits in a pool.
    #[must_use]
    pub fn has_ranked(&self, pool: &str) -> bool {
        let order = self.pools.get(pool);
        let mut lanes = order.into_iter().flat_map(|order| order.lanes.values());
        lanes.any(|lane| !lane.jobs.is_empty())
    }

    /// Makes the next pass leave out a pool that was just tried, unless it becomes due again.
    pub fn clear_due(&mut self, pool: &str) {
        if let Some(order) = self.pools.get_mut(pool) {
            order.due = false;
        }
    }

    /// Returns whether jobs wait in a pool, or have not been tried yet.
    #[must_use]
    pub fn is_pool_waiting(&self, pool: &str) -> bool {
        !self.unranked.is_empty() || self.has_ranked(pool)
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
