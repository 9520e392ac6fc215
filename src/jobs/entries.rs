//! Workers' entries, and the end of their lives and leases.

use crate::jobs::engine::JobEngine;
use crate::jobs::task::RunPhase;
use crate::jobs::types::TaskId;
use crate::jobs::unresponsive::UnresponsiveLease;
use crate::jobs::worker::RunFootprint;
use crate::jobs::worker::WorkerView;
use crate::ports::WorkerEntry;

/// Calls without an answer after which a worker's lease is stored for a successor; a
/// single one is mostly a connection that broke.
const SILENT_MISSES: u32 = 2;

impl JobEngine {
    /// Takes in a worker's entry.
    pub fn worker_listed(&mut self, entry: WorkerEntry, now: u64) {
        self.placement_due = true;
        if self.fleet.departed.contains_key(&entry.id) {
            return;
        }
        let Some(view) = self.workers.get_mut(&entry.id) else {
            log::info!(
                event = "worker_found", worker = entry.id.as_str(), pool = entry.pool.as_str(),
                address:% = entry.address, born_ms = entry.born_ms; ""
            );
            let (id, born_ms) = (entry.id.clone(), entry.born_ms);
            self.workers.insert(id.clone(), WorkerView::new(entry, now));
            self.adopt_orphaned_runs(&id, born_ms);
            self.send_hold(&id, now);
            return;
        };
        let reborn = entry.born_ms > view.entry.born_ms && view.entry.born_ms > 0;
        if entry.born_ms < view.entry.born_ms {
            // An entry of an earlier life, such as a late write.
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
        if reborn {
            self.replace_incarnation(&id, entry, now);
        } else {
            view.entry = entry;
        }
    }

    /// Books inherited runs at a worker whose entry was missing so far.
    pub(crate) fn adopt_orphaned_runs(&mut self, worker: &str, born_ms: u64) {
        let found: Vec<_> = self
            .orphaned_runs
            .extract_if(.., |(_, at, _)| at == worker)
            .collect();
        for (task, _, run) in found {
            let job = self.jobs.get(&task.job);
            let load = job
                .and_then(|job| job.step_spec(&task))
                .map(RunFootprint::from);
            if let Some(view) = self.workers.get_mut(worker) {
                log::info!(event = "run_booked", task:% = task, run = run, worker = worker, born_ms = born_ms; "");
                view.add_run(task, run, load.unwrap_or_default());
            }
        }
    }

    /// Takes in that a worker's entry is gone.
    pub fn worker_unlisted(&mut self, worker: &str, now: u64) {
        if let Some(view) = self.workers.get_mut(worker) {
            view.unlisted_ms.get_or_insert(now);
            log::info!(event = "worker_unlisted", worker = worker, runs = view.runs.len(); "");
        }
    }

    /// Takes in all entries; workers without one count as unlisted.
    pub fn workers_synced(&mut self, listed: Vec<WorkerEntry>, now: u64) {
        let names: Vec<String> = listed.iter().map(|entry| entry.id.clone()).collect();
        for entry in listed {
            self.worker_listed(entry, now);
        }
        let known: Vec<String> = self.workers.keys().cloned().collect();
        for worker in known.iter().filter(|worker| !names.contains(worker)) {
            let listed = self
                .workers
                .get(worker)
                .is_some_and(|view| view.unlisted_ms.is_none());
            if listed {
                self.worker_unlisted(worker, now);
            }
        }
    }

    /// Starts a new life of a worker: nothing of the former one runs any more.
    pub(crate) fn replace_incarnation(&mut self, worker: &str, entry: WorkerEntry, now: u64) {
        log::info!(event = "worker_reborn", worker = worker, born_ms = entry.born_ms; "");
        self.mark_runs_lost(worker, "reborn", now);
        self.workers
            .insert(worker.to_owned(), WorkerView::new(entry, now));
    }

    /// Gives up all runs at a worker: its lease has lapsed or its life has ended.
    pub(crate) fn mark_runs_lost(&mut self, worker: &str, reason: &str, now: u64) {
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        let runs: Vec<_> = view.runs.iter().cloned().collect();
        for (task, run) in runs {
            log::info!(
                event = "run_lost", task:% = task, run = run, worker = worker, reason = reason; ""
            );
            let reserved = self.run_phase(&task, worker, run);
            self.release_run(&task, worker, run);
            if let Some(job) = self.jobs.get_mut(&task.job) {
                if let Some(state) = job.task_mut(&task) {
                    state.last_end_ms = now;
                    if !matches!(reserved, Some(RunPhase::Reserved(_))) {
                        state.lost.push(run);
                    }
                }
                job.bump_version();
            }
            self.mark_dirty(&task.job, now + self.settings.flush_ms);
            self.finalize_job(&task.job, now);
        }
    }

    pub(crate) fn run_phase(&self, task: &TaskId, worker: &str, run: u32) -> Option<RunPhase> {
        let state = self.jobs.get(&task.job)?.task(task)?;
        let mut placed = state.placed.iter();
        let placed = placed.find(|placed| placed.run == run && placed.worker == worker);
        placed.map(|placed| placed.phase)
    }

    /// Returns when the lease that a former owner granted has surely ended.
    fn inherited_lapse(&self, view: &WorkerView) -> u64 {
        let lease = self.unresponsive.lease(&view.entry.id);
        let lease = lease.filter(|lease| lease.born_ms == view.entry.born_ms);
        lease.map_or(self.inherited_leases_end_ms, |lease| {
            lease.expires_ms.min(self.inherited_leases_end_ms)
        })
    }

    /// Notes which workers with runs are silent, and which are not any more.
    pub(crate) fn update_unresponsive(&mut self) {
        let noted: Vec<String> = self.unresponsive.workers().cloned().collect();
        for worker in noted {
            let waits = match self.workers.get(&worker) {
                Some(view) => {
                    let silent = view.missed_calls > 0 || view.contact_ms.is_none();
                    silent && !view.runs.is_empty()
                }
                None => self.orphaned_runs.iter().any(|(_, at, _)| *at == worker),
            };
            if !waits {
                self.unresponsive.remove(&worker);
            }
        }
        for (id, view) in &self.workers {
            let silent = view.missed_calls >= SILENT_MISSES && view.contact_ms.is_some();
            if silent
                && !view.runs.is_empty()
                && self.unresponsive.lease(id).is_none()
                && let Some(lapse_ms) = view.lease_expiry_ms()
            {
                let lease = UnresponsiveLease {
                    born_ms: view.entry.born_ms,
                    expires_ms: lapse_ms,
                };
                self.unresponsive.insert(id, lease);
            }
        }
    }

    /// Gives up runs at workers whose lease has surely ended.
    pub(crate) fn expire_worker_leases(&mut self, now: u64) {
        let grace = self.settings.entry_grace_ms;
        let mut lapsed = Vec::new();
        let mut gone = Vec::new();
        for (id, view) in &self.workers {
            let silent = view.missed_calls > 0 || view.contact_ms.is_none();
            // Without a contact under this epoch the former owner may have renewed
            // the lease until its own ended.
            let lapse_ms = match view.contact_ms {
                Some(_) => view
                    .lease_expiry_ms()
                    .unwrap_or(self.inherited_leases_end_ms),
                None => self.inherited_lapse(view),
            };
            if silent && !view.runs.is_empty() && now > lapse_ms {
                lapsed.push(id.clone());
            }
            let unlisted = view.unlisted_ms.is_some_and(|since| now > since + grace);
            if unlisted && silent && view.runs.is_empty() && view.pending_ends.is_empty() {
                gone.push(id.clone());
            }
        }
        for worker in lapsed {
            self.mark_runs_lost(&worker, "lapsed", now);
        }
        for worker in gone {
            log::info!(event = "worker_gone", worker = worker.as_str(); "");
            self.workers.remove(&worker);
        }
    }
}
