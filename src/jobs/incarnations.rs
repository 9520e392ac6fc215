//! Incarnations of workers: which one runs under an identifier.
//!
//! A worker may start again under its identifier. Its start is a time of its clock, which may
//! be set between two incarnations, so that the order of two starts proves nothing. An answer
//! shows which incarnation runs.

use std::collections::HashSet;

use crate::jobs::engine::JobEngine;
use crate::jobs::lost_workers::LossReason;
use crate::jobs::task::RunPhase;
use crate::jobs::types::TaskId;
use crate::jobs::worker::RunFootprint;
use crate::jobs::worker::WorkerView;
use crate::ports::WorkerEntry;
use crate::ports::worker::RunningRow;

impl JobEngine {
    /// Returns whether the answer to a hold that was sent at `sent_ms`, which lists these runs,
    /// is from the incarnation of a worker that runs now. If it is another one than the known
    /// one, and the hold was sent since that was found, it has replaced it.
    pub(crate) fn confirm_incarnation(
        &mut self,
        worker: &str,
        (born_ms, rows): (u64, &[RunningRow]),
        sent_ms: u64,
        now: u64,
    ) -> bool {
        let Some(view) = self.workers.get_mut(worker) else {
            return false;
        };
        view.hold_in_flight = false;
        let is_known = born_ms == 0 || view.entry.born_ms == 0 || born_ms == view.entry.born_ms;
        if is_known {
            view.other_entry.take_if(|(_, seen_ms)| *seen_ms < sent_ms);
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
        let kept = self.detach_possible_runs(worker, rows, sent_ms);
        self.replace_incarnation(worker, entry, now);
        for (task, run) in kept {
            self.attach_run(worker, task, run, born_ms);
        }
        true
    }

    /// Removes from a worker's view, and returns, the runs that may be alive at the incarnation
    /// that has answered a hold with these rows: those that it lists, and those with a start or
    /// a stop that was not answered before the hold. Orders name the worker, not the
    /// incarnation, so that the new one may have carried them out, or may yet.
    fn detach_possible_runs(
        &mut self,
        worker: &str,
        rows: &[RunningRow],
        sent_ms: u64,
    ) -> Vec<(TaskId, u32)> {
        let listed = rows.iter().filter_map(|row| {
            let task = TaskId::parse(&row.task)?;
            Some((task, row.run))
        });
        let listed: HashSet<(TaskId, u32)> = listed.collect();
        let runs = self.workers.get(worker).into_iter();
        let runs = runs.flat_map(|view| &view.runs);
        let possible = runs.filter(|(task, run)| match self.run_phase(task, worker, *run) {
            Some(RunPhase::Ordered | RunPhase::Unanswered(_) | RunPhase::Stopping) => true,
            Some(RunPhase::Running(since) | RunPhase::Stopped(since)) if since >= sent_ms => true,
            _ => listed.contains(&(task.clone(), *run)),
        });
        let possible: Vec<(TaskId, u32)> = possible.cloned().collect();
        for (task, run) in &possible {
            let footprint = self.footprint_of(task);
            if let Some(view) = self.workers.get_mut(worker) {
                view.remove_run(task, *run, footprint);
            }
        }
        possible
    }

    /// Adds a run to a worker whose incarnation started at `born_ms`.
    fn attach_run(&mut self, worker: &str, task: TaskId, run: u32, born_ms: u64) {
        let footprint = self.footprint_of(&task);
        let job = self.jobs.get_mut(&task.job);
        let state = job.and_then(|job| job.task_mut(&task));
        let placed = state.into_iter().flat_map(|state| &mut state.placed);
        for placed in placed.filter(|placed| placed.run == run && placed.worker == worker) {
            placed.born_ms = born_ms;
        }
        if let Some(view) = self.workers.get_mut(worker) {
            view.add_run(task, run, footprint);
        }
    }

    fn footprint_of(&self, task: &TaskId) -> RunFootprint {
        let job = self.jobs.get(&task.job);
        let spec = job.and_then(|job| job.step_spec(task));
        spec.map(RunFootprint::from).unwrap_or_default()
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
            self.replace_incarnation(&worker, entry, now);
        }
    }

    /// Handles the restart of a worker: no run of the earlier incarnation is alive.
    pub(crate) fn replace_incarnation(&mut self, worker: &str, entry: WorkerEntry, now: u64) {
        log::info!(event = "worker_restarted", worker = worker, born_ms = entry.born_ms; "");
        self.mark_runs_lost(worker, LossReason::Restarted, now);
        self.workers
            .insert(worker.to_owned(), WorkerView::new(entry, now));
    }
}
