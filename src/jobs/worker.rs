//! A worker as the owner of its shard sees it: capacity, lease, runs and failures.
//!
//! The owner learns the state of a worker through its entry in the store and through
//! hold calls. A hold call renews the lease of the worker's runs and returns the run
//! lists: the runs that are in progress and those that have ended. Ends are numbered;
//! the worker lists an end again until the owner's cursor has passed it.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::jobs::isolation::IsolationClaim;
use crate::jobs::task::TaskRun;
use crate::jobs::types::JobId;
use crate::jobs::types::ResourceVector;
use crate::jobs::types::StepSpec;
use crate::jobs::types::TaskId;
use crate::jobs::types::WorkerState;
use crate::ports::WorkerEntry;

/// Maximum rate at which a worker's clock falls behind, per mille; published by the
/// platform.
const CLOCK_DRIFT_PER_MILLE: u64 = 20;

/// Added to the end of a lease because clock readings are rounded, in milliseconds.
const LEASE_SLACK_MS: u64 = 50;

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockSample {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// When the reading arrived, on the boot clock in milliseconds.
    pub received_ms: u64,
}

/// The end of a run whose job must be stored before the worker may forget the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingEnd {
    /// Number of the end.
    pub number: u64,
    /// Job that the end changed.
    pub job: JobId,
    /// First version of the job that includes the change.
    pub version: u64,
}

/// What a run occupies at its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunFootprint {
    /// Resources that it reserves.
    pub resources: ResourceVector,
    /// Whether it runs until its job is cancelled.
    pub long_running: bool,
    /// Whether it has a latency target.
    pub serving: bool,
    /// Whether it only uses CPU that other runs leave idle.
    pub filler: bool,
}

impl From<&StepSpec> for RunFootprint {
    fn from(spec: &StepSpec) -> Self {
        Self {
            resources: spec.reserved(),
            long_running: spec.lasting,
            serving: spec.target_ms > 0,
            filler: spec.fills,
        }
    }
}

/// Number of runs of each kind at a worker; a run may be of several kinds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunCounts {
    /// Runs that end only when their job is cancelled.
    pub long_running: u32,
    /// Runs with a latency target.
    pub serving: u32,
    /// Runs that only use CPU that others leave idle.
    pub fillers: u32,
}

/// A worker. Times are on the owner's boot clock unless another clock is named.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// Its latest entry in the store.
    pub entry: WorkerEntry,
    /// Its latest entry in the store that shows another incarnation, and when it was found;
    /// none once the known one has answered since.
    pub other_entry: Option<(WorkerEntry, u64)>,
    /// When it was found in the store.
    pub found_ms: u64,
    /// When the last answered hold call was sent; 0 before the first.
    pub reported_ms: u64,
    /// Last sign of life of the incarnation before; 0 if there was none.
    pub former_alive_ms: u64,
    /// When the last order was sent that may grant a lease, as a time of the known incarnation's
    /// clock; 0 before the first.
    pub lease_sent_ms: u64,
    /// When the leases that orders to an earlier incarnation may have granted have certainly
    /// expired; 0 if there are none.
    pub orders_expiry_ms: u64,
    /// When its entry disappeared from the store; none while the entry exists.
    pub unlisted_ms: Option<u64>,
    /// Ends up to this number are stored.
    pub cursor: u64,
    /// Ends up to this number were applied to their jobs.
    pub applied_cursor: u64,
    /// Ends that were applied and are not known to be stored, by ascending number.
    pub pending_ends: VecDeque<PendingEnd>,
    /// Last reading of its clock.
    pub clock: Option<ClockSample>,
    /// End of the longest lease that was granted, also by former owners, on the worker's
    /// clock.
    pub lease_until_ms: u64,
    /// Last answer to a hold call in this epoch; none before the first.
    pub contact_ms: Option<u64>,
    /// Last sign of life: an answered hold call, or one that broke off during its wait.
    pub alive_ms: u64,
    /// Whether a hold call is in flight.
    pub hold_in_flight: bool,
    /// How long the worker may wait before it answers the last hold call, in milliseconds.
    pub hold_wait_ms: u64,
    /// Earliest time of the next hold call.
    pub next_hold_ms: u64,
    /// Failed or unanswered calls since the last answered hold call.
    pub missed_calls: u32,
    /// Resources reserved by `runs`.
    pub used: ResourceVector,
    /// Runs that may be alive: task and number of the run.
    pub runs: BTreeSet<(TaskId, u32)>,
    /// Number of `runs` of each kind.
    pub run_counts: RunCounts,
    /// Until when no run is placed here.
    pub blocked_until_ms: u64,
    /// Failures held against the worker since a run last succeeded.
    pub failures: u32,
    /// Whether it is being evacuated for a move or for maintenance.
    pub evacuating: bool,
    /// Whether another incarnation has answered in its place.
    pub is_superseded: bool,
    /// Whether a worker with another identifier runs in its place, so that it does not return.
    pub is_replaced: bool,
    /// Task for whose isolated start it is reserved; no other run is started here meanwhile.
    pub claim: Option<IsolationClaim>,
    /// When a run was last placed here, or when the worker was found.
    pub last_busy_ms: u64,
}

impl WorkerView {
    /// Creates the view of a worker that was just found in the store.
    #[must_use]
    pub fn new(entry: WorkerEntry, now: u64) -> Self {
        Self {
            entry,
            other_entry: None,
            found_ms: now,
            reported_ms: 0,
            former_alive_ms: 0,
            lease_sent_ms: 0,
            orders_expiry_ms: 0,
            unlisted_ms: None,
            cursor: 0,
            applied_cursor: 0,
            pending_ends: VecDeque::new(),
            clock: None,
            lease_until_ms: 0,
            contact_ms: None,
            alive_ms: 0,
            hold_in_flight: false,
            hold_wait_ms: 0,
            next_hold_ms: now,
            missed_calls: 0,
            used: ResourceVector::default(),
            runs: BTreeSet::new(),
            run_counts: RunCounts::default(),
            blocked_until_ms: 0,
            failures: 0,
            evacuating: false,
            is_superseded: false,
            is_replaced: false,
            claim: None,
            last_busy_ms: now,
        }
    }

    /// Adds a run that may be alive here and reserves its resources.
    pub fn add_run(&mut self, task: TaskId, run: u32, footprint: RunFootprint) {
        if self.runs.insert((task, run)) {
            self.used.add(&footprint.resources);
            self.run_counts.long_running += u32::from(footprint.long_running);
            self.run_counts.serving += u32::from(footprint.serving);
            self.run_counts.fillers += u32::from(footprint.filler);
        }
    }

    /// Removes a run that was added with the same `footprint`.
    pub fn remove_run(&mut self, task: &TaskId, run: u32, footprint: RunFootprint) {
        if self.runs.remove(&(task.clone(), run)) {
            self.used = self.used.saturating_sub(&footprint.resources);
            let run_counts = &mut self.run_counts;
            run_counts.long_running = run_counts
                .long_running
                .saturating_sub(u32::from(footprint.long_running));
            run_counts.serving = run_counts
                .serving
                .saturating_sub(u32::from(footprint.serving));
            run_counts.fillers = run_counts
                .fillers
                .saturating_sub(u32::from(footprint.filler));
        }
    }

    /// Returns whether a report of the known incarnation has listed a run.
    #[must_use]
    pub fn has_reported(&self, run: &TaskRun) -> bool {
        run.is_reported && run.born_ms == self.entry.born_ms
    }

    /// Returns the number of the last end that the next hold acknowledges; 0 for none.
    ///
    /// After a call without an answer, another incarnation may receive the hold. It numbers its
    /// ends anew, and would forget those up to the cursor, which were never listed.
    #[must_use]
    pub fn hold_cursor(&self) -> u64 {
        if self.missed_calls == 0 {
            self.cursor
        } else {
            0
        }
    }

    /// Returns the free capacity.
    #[must_use]
    pub fn free(&self) -> ResourceVector {
        self.entry.capacity.saturating_sub(&self.used)
    }

    /// Returns whether new runs may be placed here at the time `now`.
    #[must_use]
    pub fn is_schedulable(&self, now: u64) -> bool {
        self.entry.state == WorkerState::Ready
            && !self.evacuating
            && self.unlisted_ms.is_none()
            && self.contact_ms.is_some()
            && self.missed_calls == 0
            && now >= self.blocked_until_ms
    }

    /// Returns whether runs that are not isolated may be started here at the time `now`.
    #[must_use]
    pub fn accepts_starts(&self, now: u64) -> bool {
        self.is_schedulable(now) && self.claim.is_none()
    }

    /// Returns the time up to which its runs were observed, on the boot clock in
    /// milliseconds: its last report, or `now` if it does not answer. Newer reports may wait
    /// to be handled by this owner.
    #[must_use]
    pub fn observed_ms(&self, now: u64) -> u64 {
        if self.missed_calls > 0 {
            return now;
        }
        self.contact_ms.unwrap_or(0)
    }

    /// Returns when a lease of `lease_ms` that is granted now ends, on the worker's
    /// clock in milliseconds; none before the first reading of that clock.
    #[must_use]
    pub fn lease_end(&self, now: u64, lease_ms: u64) -> Option<u64> {
        let clock = self.clock?;
        let since_ms = now.saturating_sub(clock.received_ms);
        let clock_ms = clock.clock_ms.saturating_add(since_ms);
        Some(clock_ms.saturating_add(lease_ms))
    }

    /// Assumes that a lease of `max_lease_ms` was granted up to a first answer with this reading
    /// of the worker's clock, by former owners, whose orders it rejects from now on, or by
    /// orders for an earlier incarnation.
    pub fn assume_lease(&mut self, clock_ms: u64, max_lease_ms: u64) {
        let until_ms = clock_ms.saturating_add(max_lease_ms);
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
    }

    /// Records a reading of the worker's clock.
    pub fn observe_clock(&mut self, sample: ClockSample) {
        self.clock = Some(sample);
    }

    /// Returns when the longest granted lease has certainly expired, on the boot clock
    /// in milliseconds: the worker's clock may run slower than this one. None before
    /// the first reading of the worker's clock.
    #[must_use]
    pub fn lease_expiry_ms(&self) -> Option<u64> {
        let clock = self.clock?;
        let left_ms = self.lease_until_ms.saturating_sub(clock.clock_ms);
        let drifted_ms = left_ms.saturating_mul(1000) / (1000 - CLOCK_DRIFT_PER_MILLE);
        let max_left_ms = drifted_ms + 1 + LEASE_SLACK_MS;
        Some(clock.received_ms.saturating_add(max_left_ms))
    }

    /// Returns whether the worker has a label.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.entry.labels.iter().any(|own| own == label)
    }

    /// Returns the worker's rack, which is its last label; empty if it has no labels.
    #[must_use]
    pub fn rack(&self) -> &str {
        self.entry.labels.last().map_or("", String::as_str)
    }
}
