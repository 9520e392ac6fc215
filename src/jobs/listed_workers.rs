//! Workers in the platform's list of VMs, as evidence of which have ended.
//!
//! A worker is one incarnation of a VM's process, and the list names the current one. A worker
//! that does not answer may be cut off and run on; but if its VM is listed without it, moves or is
//! in maintenance, it has ended, and its runs need not be waited for until their lease expires. A
//! list counts only if its read began after the worker's last sign of life.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::jobs::engine::JobEngine;
use crate::jobs::lost_workers::LossReason;
use crate::jobs::worker::WorkerView;
use crate::ports::fleet::MachineRow;
use crate::ports::fleet::MachineState;

/// Consecutive lists that must lack a VM, or a worker and its VM: the pages of one list may be read
/// while it changes.
pub(crate) const REMOVED_LISTS: u32 = 2;

/// Consecutive failed calls to a worker with runs that each make a read of the list due; a
/// worker that is still listed then is probably cut off.
pub(crate) const MAX_LIST_REQUESTS: u32 = 3;

/// Minimum time between two reads of the list that are due for workers that do not answer, in
/// milliseconds.
pub(crate) const REQUESTED_LIST_GAP_MS: u64 = 150;

/// Workers as the lists of VMs have shown them.
#[derive(Clone, Debug, Default)]
pub struct ListedWorkers {
    /// VM of each worker, as last listed.
    machines: HashMap<String, String>,
    /// Number of consecutive lists without the worker and without its VM.
    absences: HashMap<String, u32>,
}

impl ListedWorkers {
    /// Records a complete list; returns which of the `silent` workers, whose last sign of life
    /// was before its read, have ended. Workers for which `is_known` is false are forgotten.
    pub fn observe(
        &mut self,
        rows: &BTreeMap<String, MachineRow>,
        silent: &[&str],
        is_known: impl Fn(&str) -> bool,
    ) -> Vec<String> {
        let listed = rows.values();
        let listed = listed.filter(|row| !row.worker.is_empty() && !is_out_of_service(row));
        let listed: HashMap<&str, &str> = listed
            .map(|row| (row.worker.as_str(), row.machine.as_str()))
            .collect();
        self.absences
            .retain(|worker, _| silent.contains(&worker.as_str()));
        let mut ended = Vec::new();
        for worker in silent {
            if listed.contains_key(worker) {
                self.absences.remove(*worker);
                continue;
            }
            let machine = self.machines.get(*worker);
            let is_replaced = machine.is_some_and(|machine| rows.contains_key(machine));
            let absences = self.absences.entry((*worker).to_owned()).or_default();
            *absences += 1;
            if is_replaced || *absences >= REMOVED_LISTS {
                ended.push((*worker).to_owned());
            }
        }
        self.machines.retain(|worker, _| is_known(worker));
        for (worker, machine) in listed {
            self.machines.insert(worker.to_owned(), machine.to_owned());
        }
        ended
    }

    /// Returns the row of a worker's VM, if the worker was listed before.
    fn row_of<'a>(
        &self,
        worker: &str,
        rows: &'a BTreeMap<String, MachineRow>,
    ) -> Option<&'a MachineRow> {
        rows.get(self.machines.get(worker)?)
    }
}

/// Returns whether a VM moves or is in maintenance, which ends its worker.
fn is_out_of_service(row: &MachineRow) -> bool {
    matches!(row.state, MachineState::Moving | MachineState::Maintenance)
}

impl JobEngine {
    /// Removes the runs of workers that have ended according to the current list of VMs, whose
    /// read began at `started_ms`.
    pub(crate) fn expire_ended_workers(&mut self, started_ms: u64, now: u64) {
        let is_silent = |view: &WorkerView| {
            let seen_ms = view.contact_ms.unwrap_or(view.found_ms);
            view.missed_calls > 0 && !view.runs.is_empty() && seen_ms < started_ms
        };
        let silent = self.workers.iter().filter(|(_, view)| is_silent(view));
        let silent: Vec<&str> = silent.map(|(id, _)| id.as_str()).collect();
        let workers = &self.workers;
        let fleet = &mut self.fleet;
        let ended = fleet
            .listed_workers
            .observe(&fleet.rows, &silent, |worker| workers.contains_key(worker));
        for worker in ended {
            let row = self.fleet.listed_workers.row_of(&worker, &self.fleet.rows);
            let is_planned = row.is_some_and(is_out_of_service);
            let may_return = row.is_some_and(|row| row.worker.is_empty()) && !is_planned;
            if let Some(view) = self.workers.get_mut(&worker).filter(|_| is_planned) {
                view.evacuating = true;
            } else {
                self.worker_superseded(&worker, now);
            }
            if may_return {
                self.lose_settled_runs(&worker, started_ms, now);
            } else {
                self.mark_runs_lost(&worker, LossReason::NotListed, now);
            }
        }
    }

    /// Makes a read of the list of VMs due, as a worker with runs has not answered.
    pub(crate) fn request_vm_list(&mut self, worker: &str, now: u64) {
        let view = self.workers.get(worker);
        let may_have_ended = view
            .is_some_and(|view| !view.runs.is_empty() && view.missed_calls <= MAX_LIST_REQUESTS);
        if may_have_ended {
            self.fleet.list_requested_ms = Some(now);
        }
    }
}
