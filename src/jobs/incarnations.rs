//! Incarnations of workers: which one runs under an identifier.
//!
//! A worker may start again under its identifier. Its start is a time of its clock, which may
//! be set between two incarnations, so that the order of two starts proves nothing. Only a report,
//! the answer to a hold, says which incarnation gave it. The answer to any other order may be from
//! one that is not known yet: its clock starts anew at any value, and proves nothing either.
//!
//! Orders name the worker, not the incarnation. One without an answer may be carried out by an
//! incarnation that starts after it was sent, so that the end of an incarnation does not end
//! the runs that none of its reports confirms. These stay with the worker until a report of the
//! new incarnation shows whether they are alive there.

use std::collections::HashSet;

use crate::jobs::engine::JobEngine;
use crate::jobs::engine::SchedulerSettings;
use crate::jobs::isolation::has_outlasted_trial;
use crate::jobs::losses::WorkerLoss;
use crate::jobs::lost_workers::LossReason;
use crate::jobs::stops::StopReason;
use crate::jobs::task::RunPhase;
use crate::jobs::task::TaskRun;
use crate::jobs::types::TaskId;
use crate::jobs::worker::RunFootprint;
use crate::jobs::worker::WorkerView;
use crate::ports::WorkerEntry;
use crate::ports::worker::EndedRow;
use crate::ports::worker::RunningRow;

/// How long after it was sent an order without an answer may be carried out, in milliseconds. The
/// incarnation to which it was sent refuses a start once its lease is over; the clock of a later
/// one starts anew.
const MAX_ORDER_DELAY_MS: u64 = 12_000;

impl SchedulerSettings {
    /// Returns when the lease has certainly expired that an order granted which was sent at
    /// `sent_ms`, whichever incarnation has carried it out; both on the boot clock, in
    /// milliseconds. A later incarnation may take the lease for the longest one.
    #[must_use]
    pub fn start_expiry_ms(&self, sent_ms: u64) -> u64 {
        sent_ms + MAX_ORDER_DELAY_MS + self.longest_lease_ms()
    }
}

/// Run lists of the incarnation that replaces another one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FirstReport<'a> {
    /// When the hold that it answers was sent.
    pub sent_ms: u64,
    /// Runs that are alive.
    pub running: &'a [RunningRow],
    /// Runs that have ended.
    pub ended: &'a [EndedRow],
}

impl FirstReport<'_> {
    /// Returns the runs that it lists, alive or ended.
    fn listed(&self) -> HashSet<(TaskId, u32)> {
        let running = self.running.iter().map(|row| (row.task.as_str(), row.run));
        let ended = self.ended.iter().map(|row| (row.task.as_str(), row.run));
        let rows = running.chain(ended);
        rows.filter_map(|(task, run)| Some((TaskId::parse(task)?, run)))
            .collect()
    }
}

/// Returns whether a run may be at a later incarnation of its worker than the known one: no report
/// shows that it had begun at the known one, or an attempt at its start may still be carried out.
fn may_be_at_later(view: &WorkerView, run: &TaskRun) -> bool {
    let (is_known, may_start) = match run.phase {
        // A successor waits for all orders of the former owner.
        RunPhase::Reserved(_) | RunPhase::Inherited => return false,
        RunPhase::Running(since_ms) | RunPhase::Stopped(since_ms) => {
            let is_known = view.has_reported(run) || since_ms < view.reported_ms;
            (is_known, run.has_unanswered_start)
        }
        RunPhase::Ordered | RunPhase::Unanswered(_) | RunPhase::Stopping => {
            (view.has_reported(run), run.has_unanswered_start)
        }
    };
    let is_over = view.reported_ms > run.ordered_ms + MAX_ORDER_DELAY_MS;
    !is_known || may_start && !is_over
}

/// Returns whether an incarnation that starts later may have a run: an order for it may have no
/// answer.
fn is_unsettled(run: &TaskRun) -> bool {
    match run.phase {
        RunPhase::Reserved(_) => false,
        RunPhase::Running(_) | RunPhase::Stopped(_) => run.has_unanswered_start,
        RunPhase::Ordered | RunPhase::Unanswered(_) | RunPhase::Stopping | RunPhase::Inherited => {
            true
        }
    }
}

impl JobEngine {
    /// Returns whether a report of the incarnation that started at `born_ms` is from the one that
    /// runs now. If it is another one than the known one, and was asked for since that was found,
    /// it has replaced it.
    pub(crate) fn confirm_incarnation(
        &mut self,
        worker: &str,
        born_ms: u64,
        report: FirstReport<'_>,
        now: u64,
    ) -> bool {
        let sent_ms = report.sent_ms;
        let Some(view) = self.workers.get_mut(worker) else {
            return false;
        };
        view.hold_in_flight = false;
        let is_known = born_ms == 0 || view.entry.born_ms == 0 || born_ms == view.entry.born_ms;
        if is_known {
            view.other_entry.take_if(|(_, seen_ms)| *seen_ms < sent_ms);
            view.reported_ms = view.reported_ms.max(sent_ms);
            return true;
        }
        if sent_ms <= view.found_ms {
            return false;
        }
        let other = view.other_entry.take().map(|(entry, _)| entry);
        let entry = other.filter(|entry| entry.born_ms == born_ms);
        let entry = entry.unwrap_or_else(|| WorkerEntry {
            born_ms,
            ..view.entry.clone()
        });
        self.replace_incarnation(worker, entry, Some(report), now);
        true
    }

    /// Replaces the workers that do not answer and whose entry shows a later start.
    pub(crate) fn replace_restarted_workers(&mut self, now: u64) {
        let mut restarted = Vec::new();
        for (id, view) in &mut self.workers {
            let born_ms = view.entry.born_ms;
            let is_later = |(entry, _): &mut (WorkerEntry, u64)| entry.born_ms > born_ms;
            if view.missed_calls > 0
                && let Some((entry, _)) = view.other_entry.take_if(is_later)
            {
                restarted.push((id.clone(), entry));
            }
        }
        for (worker, entry) in restarted {
            self.replace_incarnation(&worker, entry, None, now);
        }
    }

    /// Handles the restart of a worker, which its entry or a first report shows. The runs that
    /// the new incarnation may have are kept, the others are lost.
    pub(crate) fn replace_incarnation(
        &mut self,
        worker: &str,
        entry: WorkerEntry,
        report: Option<FirstReport<'_>>,
        now: u64,
    ) {
        let (address, born_ms) = (entry.address, entry.born_ms);
        let kept = self.possible_runs(worker, report);
        log::info!(
            event = "worker_restarted", worker = worker, born_ms = born_ms, address:% = address,
            kept = kept.len(), reported = report.is_some(); ""
        );
        self.detach_runs(worker, &kept);
        self.mark_runs_lost(worker, LossReason::Restarted, now);
        let former = self.workers.get(worker);
        let view = WorkerView {
            former_alive_ms: former.map_or(0, |view| view.alive_ms),
            orders_expiry_ms: former.map_or(0, |view| self.orders_expiry_ms(view)),
            ..WorkerView::new(entry, now)
        };
        self.workers.insert(worker.to_owned(), view);
        self.remove_worker_advice(worker);
        self.attach_runs(worker, kept, now);
        if report.is_none() {
            self.send_hold(worker, now);
        }
    }

    /// Returns the runs that the incarnation which replaces the known one may have: those that
    /// it lists, those with an order that is not answered, and those that are not known to have
    /// begun at the known one and were answered after its last report.
    fn possible_runs(&self, worker: &str, report: Option<FirstReport<'_>>) -> Vec<(TaskId, u32)> {
        let Some(view) = self.workers.get(worker) else {
            return Vec::new();
        };
        let listed = report.map_or_else(HashSet::new, |report| report.listed());
        let answered_ms = report.map_or(view.reported_ms, |report| report.sent_ms);
        let is_possible = |(task, run): &&(TaskId, u32)| {
            let Some(placed) = self.placed_run(task, worker, *run) else {
                return false;
            };
            let is_open = match placed.phase {
                RunPhase::Running(since_ms) | RunPhase::Stopped(since_ms) => {
                    !view.has_reported(placed) && since_ms >= answered_ms || is_unsettled(placed)
                }
                // The new incarnation has seen this owner's epoch and refuses the former ones'.
                RunPhase::Inherited => report.is_none(),
                _ => is_unsettled(placed),
            };
            is_open || listed.contains(&(task.clone(), *run))
        };
        view.runs.iter().filter(is_possible).cloned().collect()
    }

    /// Removes runs from a worker's view, but not from their tasks.
    fn detach_runs(&mut self, worker: &str, runs: &[(TaskId, u32)]) {
        for (task, run) in runs {
            let footprint = self.footprint_of(task);
            if let Some(view) = self.workers.get_mut(worker) {
                view.remove_run(task, *run, footprint);
            }
        }
    }

    /// Adds detached runs to a worker whose incarnation has not confirmed them.
    fn attach_runs(&mut self, worker: &str, runs: Vec<(TaskId, u32)>, now: u64) {
        for (task, run) in runs {
            let footprint = self.footprint_of(&task);
            let Some(placed) = self.placed_run_mut(&task, worker, run) else {
                continue;
            };
            // A start sets the pace anew.
            placed.pace = 100;
            let (phase, may_start) = (placed.phase, placed.has_unanswered_start);
            let Some(view) = self.workers.get_mut(worker) else {
                return;
            };
            view.add_run(task.clone(), run, footprint);
            view.orders_expiry_ms = self.settings.start_expiry_ms(now);
            match phase {
                RunPhase::Running(_) if may_start => {
                    self.set_phase(&task, worker, run, RunPhase::Unanswered(now));
                }
                RunPhase::Stopped(_) if may_start => {
                    // The stop was answered by the former incarnation.
                    self.stop_run(&task, worker, run, StopReason::StartUnanswered, now);
                }
                _ => {}
            }
        }
    }

    /// Returns when the leases that a later incarnation of a worker may have been granted by the
    /// orders to the known one and to earlier ones have certainly expired; 0 if there were none.
    fn orders_expiry_ms(&self, view: &WorkerView) -> u64 {
        let own_ms = match view.lease_sent_ms {
            0 => 0,
            sent_ms => self.settings.start_expiry_ms(sent_ms),
        };
        own_ms.max(view.orders_expiry_ms)
    }

    /// Returns when a run at a worker that does not answer has certainly ended, if that is later
    /// than the end of the known incarnation's lease: it may be at a later one, which takes the
    /// leases that orders grant for the longest one.
    pub(crate) fn late_expiry_ms(&self, view: &WorkerView, run: &TaskRun) -> Option<u64> {
        let may_be_later = may_be_at_later(view, run) && !view.is_replaced;
        let ordered_ms = self.settings.start_expiry_ms(run.ordered_ms);
        may_be_later.then(|| ordered_ms.max(self.orders_expiry_ms(view)))
    }

    /// Returns whether a run at a worker that does not answer may go on after its lease has
    /// expired.
    pub(crate) fn may_outlive_lease(&self, view: &WorkerView, run: &TaskRun, now: u64) -> bool {
        let expires_ms = self.late_expiry_ms(view, run);
        expires_ms.is_some_and(|expires_ms| now <= expires_ms)
    }

    /// Marks the runs as lost at a worker that does not answer and whose lease has expired.
    pub(crate) fn lose_expired_runs(&mut self, worker: &str, now: u64) {
        let kept = self.runs_that(worker, |view, run| self.may_outlive_lease(view, run, now));
        self.lose_runs_except(worker, kept, LossReason::LeaseExpired, now);
    }

    /// Marks the runs as lost at a worker whose VM the platform lists as down, in a list that was
    /// read from `listed_ms` on. It may start again under its identifier, so that runs with an
    /// order that is not answered, or was answered since, are kept.
    pub(crate) fn lose_settled_runs(&mut self, worker: &str, listed_ms: u64, now: u64) {
        let kept = self.runs_that(worker, |view, run| match run.phase {
            RunPhase::Running(since_ms) | RunPhase::Stopped(since_ms) if since_ms >= listed_ms => {
                may_be_at_later(view, run)
            }
            _ => is_unsettled(run),
        });
        self.lose_runs_except(worker, kept, LossReason::NotListed, now);
    }

    /// Returns the runs at a worker that meet a condition.
    fn runs_that(
        &self,
        worker: &str,
        is_met: impl Fn(&WorkerView, &TaskRun) -> bool,
    ) -> Vec<(TaskId, u32)> {
        let view = self.workers.get(worker).into_iter();
        let runs = view.flat_map(|view| view.runs.iter().map(move |run| (view, run)));
        let met = runs.filter(|(view, (task, run))| {
            let placed = self.placed_run(task, worker, *run);
            placed.is_some_and(|placed| is_met(view, placed))
        });
        met.map(|(_, run)| run.clone()).collect()
    }

    /// Marks the other runs at a worker as lost.
    fn lose_runs_except(
        &mut self,
        worker: &str,
        kept: Vec<(TaskId, u32)>,
        reason: LossReason,
        now: u64,
    ) {
        self.detach_runs(worker, &kept);
        self.mark_runs_lost(worker, reason, now);
        for (task, run) in kept {
            let footprint = self.footprint_of(&task);
            let is_placed = self.placed_run(&task, worker, run).is_some();
            if let Some(view) = self.workers.get_mut(worker).filter(|_| is_placed) {
                view.add_run(task, run, footprint);
            }
        }
    }

    /// Records that a run, which a worker's incarnation does not have, was lost with the former
    /// one, if it had begun there.
    pub(crate) fn record_former_loss(&mut self, task: &TaskId, worker: &str, run: u32, now: u64) {
        let Some(view) = self.workers.get(worker) else {
            return;
        };
        let Some(placed) = self.placed_run(task, worker, run) else {
            return;
        };
        let born_ms = placed.born_ms;
        if !placed.began || born_ms == 0 || born_ms == view.entry.born_ms {
            return;
        }
        let phase = RunPhase::Running(placed.started_ms);
        let losses = self.task_losses(task);
        let loss = WorkerLoss {
            worker: worker.to_owned(),
            born_ms,
            isolated: false,
            confirmed: true,
            began: true,
            outlasted_trial: has_outlasted_trial(phase, view.former_alive_ms, losses + 1),
        };
        self.add_loss(task, loss);
        self.give_up_tasks(std::slice::from_ref(task), now);
    }

    fn footprint_of(&self, task: &TaskId) -> RunFootprint {
        let job = self.jobs.get(&task.job);
        let spec = job.and_then(|job| job.step_spec(task));
        spec.map(RunFootprint::from).unwrap_or_default()
    }
}
