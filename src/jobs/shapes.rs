//! Waiting jobs of a lane, by rank and by shape.
//!
//! Jobs of the same shape need the same of a worker: if the first of them finds none, the others
//! find none either. A placement pass therefore tries the first job of each shape, so that jobs
//! that cannot be placed keep no others from the workers that could take them, however many there
//! are. What one job alone lacks, such as an isolated start, is not part of its shape; the jobs
//! behind it are reached in a rotation over all jobs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::ops::Bound;

use crate::jobs::account::AccountName;
use crate::jobs::job::JobEntry;
use crate::jobs::types::ResourceVector;
use crate::jobs::types::StepSpec;
use crate::jobs::waiting::WaitingPosition;

/// Digest of what the waiting tasks of a job need.
pub type ShapeKey = u64;

/// Position of a job among the jobs of its shape.
pub type ShapePosition = (ShapeKey, WaitingPosition);

/// What placement knows of a waiting job's needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitingNeed {
    /// Lower bound of what a task of the job needs; not used in the common lane.
    pub least: ResourceVector,
    /// Digest of all that its waiting tasks need.
    pub shape: ShapeKey,
}

/// Jobs of a lane.
#[derive(Clone, Debug, Default)]
pub struct ShapedJobs {
    /// All jobs, by shape and rank.
    jobs: BTreeSet<ShapePosition>,
    /// The first job of each shape, by rank.
    heads: BTreeMap<WaitingPosition, ShapeKey>,
}

impl ShapedJobs {
    /// Adds a job.
    pub fn insert(&mut self, position: WaitingPosition, shape: ShapeKey) {
        let job = (shape, position);
        let before = self.jobs.range(..&job).next_back();
        if before.is_none_or(|(other, _)| *other != shape) {
            if let Some(head) = self.successor(&job) {
                self.heads.remove(&head);
            }
            self.heads.insert(job.1.clone(), shape);
        }
        self.jobs.insert(job);
    }

    /// Removes a job.
    pub fn remove(&mut self, position: &WaitingPosition, shape: ShapeKey) {
        let job = (shape, position.clone());
        self.jobs.remove(&job);
        if self.heads.remove(position).is_some()
            && let Some(head) = self.successor(&job)
        {
            self.heads.insert(head, shape);
        }
    }

    /// Returns the next job of the same shape.
    fn successor(&self, job: &ShapePosition) -> Option<WaitingPosition> {
        let next = self.next_in_rotation(Some(job))?;
        (next.0 == job.0).then_some(next.1)
    }

    /// Removes all jobs.
    pub fn clear(&mut self) {
        self.jobs.clear();
        self.heads.clear();
    }

    /// Returns whether there are no jobs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns whether each job has a shape of its own.
    #[must_use]
    pub fn are_heads(&self) -> bool {
        self.jobs.len() == self.heads.len()
    }

    /// Returns the job after a position that is the first of its shape, in the order of ranks;
    /// without a position, the one with the lowest rank.
    #[must_use]
    pub fn next_head(&self, position: Option<&ShapePosition>) -> Option<ShapePosition> {
        let start = position.map_or(Bound::Unbounded, |(_, position)| Bound::Excluded(position));
        let mut range = self.heads.range((start, Bound::Unbounded));
        range
            .next()
            .map(|(position, shape)| (*shape, position.clone()))
    }

    /// Returns the job after a position in the order of shapes; without a position, the first.
    #[must_use]
    pub fn next_in_rotation(&self, position: Option<&ShapePosition>) -> Option<ShapePosition> {
        let start = position.map_or(Bound::Unbounded, Bound::Excluded);
        self.jobs.range((start, Bound::Unbounded)).next().cloned()
    }
}

/// Returns the digest of what the tasks of a step need of their workers, and of the account, whose
/// limit counts as well.
#[must_use]
pub fn step_shape(spec: &StepSpec, account: Option<&AccountName>) -> ShapeKey {
    let mut hasher = DefaultHasher::new();
    let need = spec.reserved();
    (need.cpu, need.memory_mb, need.gpu).hash(&mut hasher);
    (&spec.label, &spec.data_rack, spec.per_worker).hash(&mut hasher);
    (spec.one_rack, spec.gang.then_some(spec.tasks), account).hash(&mut hasher);
    hasher.finish()
}

/// Returns the digest of what the waiting tasks of a job need, whether they still wait for the
/// rack of their data, and whether they have tickets if their queue has advice.
#[must_use]
pub fn job_shape(job: &JobEntry, has_advice: bool, now: u64) -> ShapeKey {
    let mut shape = 0;
    let specs = &job.body.spec.steps;
    for steps in job.open.values() {
        for ((spec, step), own) in specs.iter().zip(steps).zip(&job.step_shapes) {
            let Some(open_ms) = step.open_ms else {
                continue;
            };
            let mut tasks = step.tasks.iter().filter(|task| !task.done);
            if tasks.any(|task| spec.speculative || task.placed.is_empty()) {
                let rack_until_ms = open_ms.saturating_add(spec.estimate_ms);
                let waits_for_rack = !spec.data_rack.is_empty() && now < rack_until_ms;
                let mut tickets = step.advice.tickets.values();
                let has_ticket = tickets.any(|ticket| now < ticket.expiry_ms);
                let lacks_advice = has_advice && !has_ticket;
                let state = u64::from(waits_for_rack) | u64::from(lacks_advice) << 1;
                shape = mix(mix(shape, *own), state);
            }
        }
    }
    shape
}

fn mix(shape: ShapeKey, value: u64) -> ShapeKey {
    const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    (shape ^ value).wrapping_mul(MULTIPLIER).rotate_left(29)
}
