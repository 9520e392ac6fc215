//! Waiting jobs of a pool in lanes, and how a pass goes through a lane.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;

use crate::jobs::share::JobLane;
use crate::jobs::share::ShareOrder;
use crate::jobs::types::JobId;
use crate::jobs::types::ResourceVector;
use crate::jobs::waiting::WaitingPosition;

/// Consecutive jobs of an account without a fitting task after which a pass leaves the
/// account, once from its lowest rank on and once where the previous pass stopped.
const MAX_LANE_MISSES: usize = 4;

/// Result of a try to place tasks of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// A task was placed, or none waits any more.
    Placed,
    /// The limit of the job's account allows no further task of it, which says nothing about
    /// the pool.
    Limited,
    /// No task fits.
    Missed,
}

/// State of a pass in a lane.
#[derive(Clone, Debug, Default)]
struct LaneVisit {
    /// Number of the pass.
    pass: u64,
    /// Last job tried.
    position: Option<WaitingPosition>,
    /// Consecutive jobs without a fitting task.
    misses: usize,
    /// Whether the visit has continued where the previous pass stopped.
    resumed: bool,
}

/// Waiting jobs of a lane.
#[derive(Clone, Debug, Default)]
pub(crate) struct LaneOrder {
    /// Jobs by rank.
    pub(crate) jobs: BTreeSet<WaitingPosition>,
    /// Last job that the previous pass tried; none if it was the last of the lane.
    pub(crate) reached: Option<WaitingPosition>,
    /// Lower bound of what a task of the lane's jobs needs; none if there is no bound.
    pub(crate) least_need: Option<ResourceVector>,
    visit: LaneVisit,
}

/// Waiting jobs of a pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolOrder {
    /// Lanes with waiting jobs.
    pub(crate) lanes: BTreeMap<JobLane, LaneOrder>,
    /// Lanes of accounts by share.
    pub(crate) shares: ShareOrder,
    /// Lanes whose share must be computed before the next pass.
    pub(crate) outdated: BTreeSet<JobLane>,
    /// Lower bound of what a task in the lanes of accounts needs.
    pub(crate) least_need: Option<ResourceVector>,
    /// Number of the current pass.
    pub(crate) pass: u64,
    /// Lane after which a pass continues that has run out of tries.
    pub(crate) rotation: Option<JobLane>,
    /// Whether something has changed since the last pass.
    pub(crate) due: bool,
    /// Whether the lanes were cleared since the last pass, and some may have stayed empty.
    pub(crate) cleared: bool,
}

impl LaneOrder {
    /// Returns a lane with one job.
    pub(crate) fn new(position: WaitingPosition, least_need: ResourceVector) -> Self {
        Self {
            jobs: BTreeSet::from([position]),
            least_need: Some(least_need),
            ..Self::default()
        }
    }
}

impl PoolOrder {
    /// Removes all jobs; the lanes keep where the previous pass stopped.
    pub(crate) fn clear(&mut self) {
        for lane in self.lanes.values_mut() {
            lane.jobs.clear();
            lane.least_need = None;
        }
        self.least_need = None;
        self.cleared = true;
    }

    /// Removes a lane.
    pub(crate) fn remove_lane(&mut self, lane: &JobLane) {
        self.lanes.remove(lane);
        self.shares.remove(lane);
        self.outdated.remove(lane);
    }

    /// Removes the lanes of accounts without jobs.
    pub(crate) fn remove_empty_lanes(&mut self) {
        let lanes = self.lanes.iter();
        let empty =
            lanes.filter(|(lane, order)| order.jobs.is_empty() && **lane != JobLane::Common);
        let empty: Vec<JobLane> = empty.map(|(lane, _)| lane.clone()).collect();
        empty.iter().for_each(|lane| self.remove_lane(lane));
    }

    /// Returns the next job of a lane that the current pass should try; none once it should
    /// leave the lane.
    pub(crate) fn next_try(&mut self, lane: &JobLane) -> Option<JobId> {
        let lane = self.lanes.get_mut(lane)?;
        if lane.visit.pass != self.pass {
            lane.visit = LaneVisit {
                pass: self.pass,
                ..LaneVisit::default()
            };
        }
        let visit = &mut lane.visit;
        if visit.misses >= MAX_LANE_MISSES {
            if visit.resumed {
                return None;
            }
            visit.resumed = true;
            visit.misses = 0;
            visit.position = visit.position.take().max(lane.reached.take());
        }
        let Some(next) = next_job(&lane.jobs, visit.position.as_ref()) else {
            lane.reached = None;
            return None;
        };
        visit.position = Some(next.clone());
        if visit.resumed {
            lane.reached = Some(next.clone());
        }
        Some(next.1)
    }

    /// Records the result of the last try in a lane.
    pub(crate) fn record_try(&mut self, lane: &JobLane, outcome: TryOutcome) {
        if let Some(lane) = self.lanes.get_mut(lane) {
            match outcome {
                TryOutcome::Placed => lane.visit.misses = 0,
                TryOutcome::Limited => {}
                TryOutcome::Missed => lane.visit.misses += 1,
            }
        }
    }
}

/// Returns what is needed at least, the smaller amount of each resource.
pub(crate) fn lower_bound(bound: Option<ResourceVector>, need: ResourceVector) -> ResourceVector {
    bound.map_or(need, |bound| ResourceVector {
        cpu: bound.cpu.min(need.cpu),
        memory_mb: bound.memory_mb.min(need.memory_mb),
        gpu: bound.gpu.min(need.gpu),
    })
}

/// Returns the next job after a position; without a position, the first one.
pub(crate) fn next_job(
    jobs: &BTreeSet<WaitingPosition>,
    position: Option<&WaitingPosition>,
) -> Option<WaitingPosition> {
    let start = position.map_or(Bound::Unbounded, Bound::Excluded);
    jobs.range((start, Bound::Unbounded)).next().cloned()
}
