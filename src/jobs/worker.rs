//! A worker as the owner of its shard sees it: room, lease, lists of runs and evidence.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use crate::jobs::types::JobId;
use crate::jobs::types::ResourceVector;
use crate::jobs::types::StepSpec;
use crate::jobs::types::TaskId;
use crate::jobs::types::WorkerState;
use crate::ports::WorkerEntry;

/// Share by which a worker's clock may be slow, in thousandths; published by the platform.
const CLOCK_DRIFT: u64 = 20;

/// Added to the end of a lease for the rounding of clocks, in milliseconds.
const LEASE_SLACK_MS: u64 = 50;

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockSample {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// The boot clock when the reading arrived.
    pub received_ms: u64,
}

/// An end whose job must be stored before the worker may forget it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingEnd {
    /// Number of the end.
    pub number: u64,
    /// Job that it changed.
    pub job: JobId,
    /// Version of the job that includes it.
    pub version: u64,
}

/// What a run takes at its worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunFootprint {
    /// Room.
    pub resources: ResourceVector,
    /// Whether it lasts.
    pub lasting: bool,
    /// Whether it has a target.
    pub serving: bool,
    /// Whether it fills.
    pub filling: bool,
}

impl From<&StepSpec> for RunFootprint {
    fn from(spec: &StepSpec) -> Self {
        Self {
            resources: spec.reserved(),
            lasting: spec.lasting,
            serving: spec.target_ms > 0,
            filling: spec.fills,
        }
    }
}

/// Runs of each kind at a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunCounts {
    /// Runs that last.
    pub lasting: u32,
    /// Runs with a target.
    pub serving: u32,
    /// Runs that fill.
    pub filling: u32,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// Its entry.
    pub entry: WorkerEntry,
    /// When its entry vanished, on the boot clock; none while it is there.
    pub unlisted_ms: Option<u64>,
    /// Ends up to this number are stored.
    pub cursor: u64,
    /// Ends up to this number were taken in.
    pub applied_cursor: u64,
    /// Ends that were taken in and are not known to be stored.
    pub pending_ends: VecDeque<PendingEnd>,
    /// Last reading of its clock.
    pub clock: Option<ClockSample>,
    /// End of the longest lease that was granted, on its clock.
    pub lease_until_ms: u64,
    /// Last answer under this epoch, on the boot clock; none before the first.
    pub contact_ms: Option<u64>,
    /// Whether a call for its lists is under way.
    pub hold_in_flight: bool,
    /// No call for its lists before this time on the boot clock.
    pub next_hold_ms: u64,
    /// Calls in a row without an answer.
    pub missed_calls: u32,
    /// Room taken by runs that may be alive.
    pub used: ResourceVector,
    /// Runs that may be alive.
    pub runs: BTreeSet<(TaskId, u32)>,
    /// How many of these are of each kind.
    pub run_counts: RunCounts,
    /// No starts before this time on the boot clock.
    pub blocked_until_ms: u64,
    /// Failures that speak against the worker.
    pub failures: u32,
    /// Whether it is being emptied for a move or for maintenance.
    pub evacuating: bool,
    /// Last time it had a run, on the boot clock.
    pub last_busy_ms: u64,
}

impl WorkerView {
    /// Makes a view of a worker that was just found.
    #[must_use]
    pub fn new(entry: WorkerEntry, now: u64) -> Self {
        Self {
            entry,
            unlisted_ms: None,
            cursor: 0,
            applied_cursor: 0,
            pending_ends: VecDeque::new(),
            clock: None,
            lease_until_ms: 0,
            contact_ms: None,
            hold_in_flight: false,
            next_hold_ms: now,
            missed_calls: 0,
            used: ResourceVector::default(),
            runs: BTreeSet::new(),
            run_counts: RunCounts::default(),
            blocked_until_ms: 0,
            failures: 0,
            evacuating: false,
            last_busy_ms: now,
        }
    }

    /// Books a run that may be alive here.
    pub fn add_run(&mut self, task: TaskId, run: u32, load: RunFootprint) {
        if self.runs.insert((task, run)) {
            self.used.add(&load.resources);
            self.run_counts.lasting += u32::from(load.lasting);
            self.run_counts.serving += u32::from(load.serving);
            self.run_counts.filling += u32::from(load.filling);
        }
    }

    /// Takes a run away that was booked with this load.
    pub fn remove_run(&mut self, task: &TaskId, run: u32, load: RunFootprint) {
        if self.runs.remove(&(task.clone(), run)) {
            self.used = self.used.saturating_sub(&load.resources);
            let run_counts = &mut self.run_counts;
            run_counts.lasting = run_counts.lasting.saturating_sub(u32::from(load.lasting));
            run_counts.serving = run_counts.serving.saturating_sub(u32::from(load.serving));
            run_counts.filling = run_counts.filling.saturating_sub(u32::from(load.filling));
        }
    }

    /// Returns what room is left.
    #[must_use]
    pub fn free(&self) -> ResourceVector {
        self.entry.room.saturating_sub(&self.used)
    }

    /// Tells whether new runs may be placed here.
    #[must_use]
    pub fn is_schedulable(&self, now: u64) -> bool {
        self.entry.state == WorkerState::Ready
            && !self.evacuating
            && self.unlisted_ms.is_none()
            && self.contact_ms.is_some()
            && self.missed_calls == 0
            && now >= self.blocked_until_ms
    }

    /// Returns the end of a lease of `lease_ms` from now on the worker's clock.
    #[must_use]
    pub fn lease_end(&self, now: u64, lease_ms: u64) -> Option<u64> {
        let clock = self.clock?;
        let since = now.saturating_sub(clock.received_ms);
        Some(clock.clock_ms + since + lease_ms)
    }

    /// Takes in a reading of the worker's clock.
    pub fn observe_clock(&mut self, sample: ClockSample) {
        self.clock = Some(sample);
    }

    /// Returns when the lease has surely ended, on the boot clock.
    #[must_use]
    pub fn lease_expiry_ms(&self) -> Option<u64> {
        let clock = self.clock?;
        let left = self.lease_until_ms.saturating_sub(clock.clock_ms);
        let slowed = left * 1000 / (1000 - CLOCK_DRIFT) + 1;
        Some(clock.received_ms + slowed + LEASE_SLACK_MS)
    }

    /// Tells whether the worker has a label.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.entry.labels.iter().any(|own| own == label)
    }

    /// Returns the rack: the last label, after the kind.
    #[must_use]
    pub fn rack(&self) -> &str {
        self.entry.labels.last().map_or("", String::as_str)
    }
}
