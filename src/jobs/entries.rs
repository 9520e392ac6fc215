//! Worker entries in the store, worker restarts and expiry of worker leases.

use std::collections::HashSet;

use crate::jobs::engine::JobEngine;
use crate::jobs::lost_workers::LossReason;
use crate::jobs::task::RunPhase;
use crate::jobs::task::TaskRun;
use crate::jobs::types::TaskId;
use crate::jobs::unresponsive::UnresponsiveLease;
use crate::jobs::worker::RunFootprint;
use crate::jobs::worker::WorkerView;
use crate::ports::WorkerEntry;

/// Consecutive calls without an answer after which the end of a worker's lease is
/// stored for a successor; a single failure is usually a broken connection.
const UNRESPONSIVE_MISSES: u32 = 2;

/// When a worker's lease has certainly expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LeaseBound {
    /// On the boot clock, in milliseconds.
    expires_ms: u64,
    /// What shows it: `granted` by this owner, `stored` by a former one, the `longest` that a
    /// former owner may have granted, or that of `orders` to an earlier incarnation.
    source: &'static str,
}

impl JobEngine {
    /// Handles a new or changed entry of a worker.
    ///
    /// Entries of workers whose VM was ordered to move or into maintenance are ignored,
    /// since they may outlive the worker.
    ///
    /// Which incarnation of a worker runs is known from its answers. Starts are times of its
    /// clock, which may be set between two incarnations, and entries may be written late: only
    /// a worker that does not answer is replaced because its entry shows a later start.
    pub fn worker_listed(&mut self, entry: WorkerEntry, now: u64) {
        self.waiting.mark_all_due();
        if self.fleet.departed.contains_key(&entry.id) {
            return;
        }
        let Some(view) = self.workers.get_mut(&entry.id) else {
            log::info!(
                event = "worker_found", worker = entry.id.as_str(), pool = entry.pool.as_str(),
                address:% = entry.address, born_ms = entry.born_ms; ""
            );
            let (id, born_ms) = (entry.id.clone(), entry.born_ms);
            self.supersede_at_address(&entry, now);
            self.workers.insert(id.clone(), WorkerView::new(entry, now));
            self.adopt_orphaned_runs(&id, born_ms);
            self.send_hold(&id, now);
            return;
        };
        let is_other = view.entry.born_ms > 0 && entry.born_ms != view.entry.born_ms;
        let answers = view.contact_ms.is_some() && view.missed_calls == 0;
        let is_earlier = entry.born_ms < view.entry.born_ms;
        if is_other && (answers || is_earlier) {
            // It may also be a delayed write of an earlier incarnation.
            if !answers {
                view.entry.address = entry.address;
            }
            view.other_entry = Some((entry, now));
            return;
        }
        if entry.state != view.entry.state {
            log::info!(
                event = "worker_state", worker = entry.id.as_str(),
                state:? = entry.state, leaves_in_ms = entry.leaves_in_ms; ""
            );
        }
        view.unlisted_ms = None;
        let id = entry.id.clone();
        if is_other {
            self.replace_incarnation(&id, entry, None, now);
        } else {
            view.entry = entry;
        }
    }

    /// Adds inherited runs to a worker whose entry was missing so far.
    pub(crate) fn adopt_orphaned_runs(&mut self, worker: &str, born_ms: u64) {
        let found: Vec<_> = self
            .orphaned_runs
            .extract_if(.., |(_, at, _)| at == worker)
            .collect();
        for (task, _, run) in found {
            let job = self.jobs.get(&task.job);
            let footprint = job
                .and_then(|job| job.step_spec(&task))
                .map(RunFootprint::from);
            let run_born_ms = self.run_born_ms(&task, worker, run);
            if let Some(view) = self.workers.get_mut(worker) {
                // The entry may be that of an earlier incarnation.
                view.entry.born_ms = view.entry.born_ms.max(run_born_ms);
                log::info!(event = "run_adopted", task:% = task, run = run, worker = worker, born_ms = born_ms; "");
                view.add_run(task, run, footprint.unwrap_or_default());
            }
        }
    }

    /// Handles the removal of a worker's entry.
    pub fn worker_unlisted(&mut self, worker: &str, now: u64) {
        if let Some(view) = self.workers.get_mut(worker) {
            view.unlisted_ms.get_or_insert(now);
            log::info!(event = "worker_unlisted", worker = worker, runs = view.runs.len(); "");
        }
    }

    /// Handles a complete list of entries; workers that are not in it become unlisted.
    pub fn workers_synced(&mut self, listed: Vec<WorkerEntry>, now: u64) {
        let names: HashSet<String> = listed.iter().map(|entry| entry.id.clone()).collect();
        for entry in listed {
            self.worker_listed(entry, now);
        }
        let known: Vec<String> = self.workers.keys().cloned().collect();
        for worker in known.iter().filter(|worker| !names.contains(*worker)) {
            let was_listed = self
                .workers
                .get(worker)
                .is_some_and(|view| view.unlisted_ms.is_none());
            if was_listed {
                self.worker_unlisted(worker, now);
            }
        }
    }

    /// Removes all runs at a worker and lets their tasks run again.
    ///
    /// Call this only when no run can be alive: the lease has expired, the worker has
    /// restarted or its VM has left the pool.
    pub(crate) fn mark_runs_lost(&mut self, worker: &str, reason: LossReason, now: u64) {
        let Some(view) = self.workers.get(worker) else {
            return;
        };
        let runs: Vec<_> = view.runs.iter().cloned().collect();
        if runs.is_empty() {
            return;
        }
        self.record_losses(worker, reason, now);
        for (task, run) in runs {
            self.log_lost_run(&task, worker, run, reason, now);
            let phase = self.run_phase(&task, worker, run);
            self.release_run(&task, worker, run);
            if let Some(job) = self.jobs.get_mut(&task.job) {
                if let Some(state) = job.task_mut(&task) {
                    state.last_end_ms = now;
                    if !matches!(phase, Some(RunPhase::Reserved(_))) {
                        state.lost.push(run);
                    }
                }
                job.bump_version();
            }
            self.dirty.mark(&task.job, now + self.settings.flush_ms);
            self.finalize_job(&task.job, now);
            self.give_up_tasks(&[task], now);
        }
    }

    fn log_lost_run(&self, task: &TaskId, worker: &str, run: u32, reason: LossReason, now: u64) {
        let job = self.jobs.get(&task.job);
        let Some(state) = job.and_then(|job| job.task(task)) else {
            return;
        };
        let mut placed = state.placed.iter();
        let placed = placed.find(|placed| placed.run == run && placed.worker == worker);
        let age_ms = placed.map_or(0, |placed| now.saturating_sub(placed.started_ms));
        let crashes = state.losses.iter().filter(|loss| loss.confirmed).count();
        log::info!(
            event = "run_lost", task:% = task, run = run, worker = worker,
            reason = reason.as_str(), age_ms = age_ms, losses = state.losses.len(),
            crashes = crashes; ""
        );
    }

    /// Returns the phase of a run, if it may be alive at the worker.
    pub(crate) fn run_phase(&self, task: &TaskId, worker: &str, run: u32) -> Option<RunPhase> {
        self.placed_run(task, worker, run)
            .map(|placed| placed.phase)
    }

    /// Returns a run, if it may be alive at the worker.
    pub(crate) fn placed_run(&self, task: &TaskId, worker: &str, run: u32) -> Option<&TaskRun> {
        let state = self.jobs.get(&task.job)?.task(task)?;
        let mut placed = state.placed.iter();
        placed.find(|placed| placed.run == run && placed.worker == worker)
    }

    /// Returns a run to be changed, if it may be alive at the worker.
    pub(crate) fn placed_run_mut(
        &mut self,
        task: &TaskId,
        worker: &str,
        run: u32,
    ) -> Option<&mut TaskRun> {
        let state = self.jobs.get_mut(&task.job)?.task_mut(task)?;
        let mut placed = state.placed.iter_mut();
        placed.find(|placed| placed.run == run && placed.worker == worker)
    }

    /// Returns when the lease of a worker has certainly expired.
    fn lease_bound(&self, view: &WorkerView) -> LeaseBound {
        let orders = LeaseBound {
            expires_ms: view.orders_expiry_ms,
            source: "orders",
        };
        let lease = self.known_lease_bound(view);
        if orders.expires_ms > lease.expires_ms {
            orders
        } else {
            lease
        }
    }

    /// Returns when the lease that a worker's known incarnation was granted has certainly expired.
    fn known_lease_bound(&self, view: &WorkerView) -> LeaseBound {
        // A worker that has not answered under this epoch may hold a lease that the
        // former owner renewed until the end of its ownership.
        let longest = LeaseBound {
            expires_ms: self.inherited_leases_expiry_ms,
            source: "longest",
        };
        if view.contact_ms.is_some() {
            let granted = view.lease_expiry_ms().map(|expires_ms| LeaseBound {
                expires_ms,
                source: "granted",
            });
            return granted.unwrap_or(longest);
        }
        let lease = self.unresponsive.lease(&view.entry.id);
        let lease = lease.filter(|lease| lease.born_ms == view.entry.born_ms);
        let stored = lease.map(|lease| LeaseBound {
            expires_ms: lease.expires_ms,
            source: "stored",
        });
        stored.unwrap_or(longest)
    }

    /// Updates the unresponsive workers with runs, whose lease ends are stored for a
    /// successor.
    pub(crate) fn update_unresponsive(&mut self) {
        let recorded: Vec<String> = self.unresponsive.workers().cloned().collect();
        for worker in recorded {
            let still_unresponsive = match self.workers.get(&worker) {
                Some(view) => {
                    let unresponsive = view.missed_calls > 0 || view.contact_ms.is_none();
                    unresponsive && !view.runs.is_empty()
                }
                None => self.orphaned_runs.iter().any(|(_, at, _)| *at == worker),
            };
            if !still_unresponsive {
                self.unresponsive.remove(&worker);
            }
        }
        for (id, view) in &self.workers {
            let unresponsive =
                view.missed_calls >= UNRESPONSIVE_MISSES && view.contact_ms.is_some();
            if unresponsive
                && !view.runs.is_empty()
                && self.unresponsive.lease(id).is_none()
                && let Some(expires_ms) = view.lease_expiry_ms()
            {
                let late_ms = view.runs.iter().filter_map(|(task, run)| {
                    let placed = self.placed_run(task, id, *run)?;
                    self.late_expiry_ms(view, placed)
                });
                let orders_ms = late_ms.fold(view.orders_expiry_ms, u64::max);
                let lease = UnresponsiveLease {
                    born_ms: view.entry.born_ms,
                    expires_ms: expires_ms.max(orders_ms),
                };
                self.unresponsive.insert(id, lease);
            }
        }
    }

    /// Removes the runs at workers whose lease has certainly expired. Also removes the
    /// workers whose entry stays missing, that do not answer, and that have neither runs
    /// nor ends to be stored.
    pub(crate) fn expire_worker_leases(&mut self, now: u64) {
        self.replace_restarted_workers(now);
        let grace = self.settings.entry_grace_ms;
        let mut expired = Vec::new();
        let mut gone = Vec::new();
        for (id, view) in &self.workers {
            let unresponsive = view.missed_calls > 0 || view.contact_ms.is_none();
            let bound = self.lease_bound(view);
            let may_outlive = |(task, run): &(TaskId, u32)| {
                let placed = self.placed_run(task, id, *run);
                placed.is_some_and(|placed| self.may_outlive_lease(view, placed, now))
            };
            let is_expired = unresponsive && now > bound.expires_ms;
            if is_expired && !view.runs.iter().all(may_outlive) {
                log::info!(
                    event = "worker_lease_expired", worker = id.as_str(), source = bound.source,
                    over_ms = now - bound.expires_ms, answered = view.contact_ms.is_some(),
                    owned_ms = now.saturating_sub(self.started_ms); ""
                );
                expired.push(id.clone());
            }
            let unlisted = view.unlisted_ms.is_some_and(|since| now > since + grace);
            if unlisted && unresponsive && view.runs.is_empty() && view.pending_ends.is_empty() {
                gone.push(id.clone());
            }
        }
        for worker in expired {
            self.lose_expired_runs(&worker, now);
        }
        for worker in gone {
            log::info!(event = "worker_gone", worker = worker.as_str(); "");
            self.workers.remove(&worker);
            self.remove_worker_advice(&worker);
        }
    }
}
