//! Waiting jobs of a pool in lanes, and how a pass goes through a lane.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::jobs::shapes::ShapePosition;
use crate::jobs::shapes::ShapedJobs;
use crate::jobs::shapes::WaitingNeed;
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
    /// No task was tried, as one that needs no more found no worker in this pass.
    Skipped,
}

/// State of a pass in a lane.
#[derive(Clone, Debug, Default)]
struct LaneVisit {
    /// Number of the pass.
    pass: u64,
    /// Last job tried.
    position: Option<ShapePosition>,
    /// Consecutive jobs without a fitting task.
    misses: usize,
    /// Whether the visit has continued where the previous pass stopped.
    resumed: bool,
}

/// Waiting jobs of a lane.
#[derive(Clone, Debug, Default)]
pub(crate) struct LaneOrder {
    /// Jobs by rank and by shape.
    pub(crate) jobs: ShapedJobs,
    /// Last job in the rotation that a previous pass tried; none if it was the last of the lane.
    reached: Option<ShapePosition>,
    /// Last of the first jobs of their shapes that a previous pass tried; none if it was the last.
    reached_head: Option<ShapePosition>,
    /// Whether the current pass continues with the first jobs of their shapes.
    continues_heads: bool,
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
    pub(crate) fn new(position: WaitingPosition, need: WaitingNeed) -> Self {
        let mut lane = Self {
            least_need: Some(need.least),
            ..Self::default()
        };
        lane.jobs.insert(position, need.shape);
        lane
    }
}

impl LaneOrder {
    /// Begins the part of a pass that continues where a previous pass stopped, with the first jobs
    /// of their shapes and with all jobs in turn, and returns the position after which it does.
    /// `last` is the last such first job that the pass has tried, if others are left.
    pub(crate) fn resume(&mut self, last: Option<ShapePosition>) -> Option<ShapePosition> {
        let is_turn = !self.continues_heads || self.jobs.are_heads();
        self.continues_heads = last.is_some() && is_turn;
        if !self.continues_heads {
            return self.reached.take();
        }
        let both = [last, self.reached_head.take()];
        let rank = |position: &ShapePosition| position.1.clone();
        both.into_iter().flatten().max_by_key(rank)
    }

    /// Returns the next job to try in that part.
    pub(crate) fn next_resumed(&self, position: Option<&ShapePosition>) -> Option<ShapePosition> {
        if self.continues_heads {
            self.jobs.next_head(position)
        } else if self.jobs.are_heads() {
            None
        } else {
            self.jobs.next_in_rotation(position)
        }
    }

    /// Records the last job that it has tried; none if it was the last one.
    pub(crate) fn set_reached(&mut self, reached: Option<ShapePosition>) {
        if self.continues_heads {
            self.reached_head = reached;
        } else {
            self.reached = reached;
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

    /// Forgets the lower bounds of what is needed, which are computed anew with the ranks.
    pub(crate) fn reset_bounds(&mut self) {
        for lane in self.lanes.values_mut() {
            lane.least_need = None;
        }
        self.least_need = None;
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
    pub(crate) fn next_try(&mut self, name: &JobLane) -> Option<JobId> {
        let lane = self.lanes.get_mut(name)?;
        if lane.visit.pass != self.pass {
            lane.visit = LaneVisit {
                pass: self.pass,
                ..LaneVisit::default()
            };
        }
        let mut next = None;
        if !lane.visit.resumed {
            if lane.visit.misses < MAX_LANE_MISSES {
                next = lane.jobs.next_head(lane.visit.position.as_ref());
            }
            if next.is_none() {
                let last = lane.visit.position.take();
                lane.visit.position = lane.resume(last.filter(|_| lane.visit.misses > 0));
                lane.visit.resumed = true;
                lane.visit.misses = 0;
            }
        }
        if lane.visit.resumed {
            if lane.visit.misses >= MAX_LANE_MISSES {
                return None;
            }
            next = lane.next_resumed(lane.visit.position.as_ref());
            lane.set_reached(next.clone());
        }
        lane.visit.position.clone_from(&next);
        next.map(|(_, (_, id))| id)
    }

    /// Records the result of the last try in a lane.
    pub(crate) fn record_try(&mut self, lane: &JobLane, outcome: TryOutcome) {
        if let Some(lane) = self.lanes.get_mut(lane) {
            match outcome {
                TryOutcome::Placed => lane.visit.misses = 0,
                TryOutcome::Limited | TryOutcome::Skipped => {}
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
