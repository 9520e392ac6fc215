//! Reading of the platform's list of VMs, and what a list says about orders and waves.
//!
//! The pages of a list may be read while it changes, so a VM counts as removed only after
//! several lists in a row lack it.

use std::collections::BTreeSet;

use crate::jobs::actions::Action;
use crate::jobs::engine::JobEngine;
use crate::jobs::fleet::FleetState;
use crate::jobs::fleet::MachineOrder;
use crate::jobs::listed_workers::REMOVED_LISTS;
use crate::jobs::listed_workers::REQUESTED_LIST_GAP_MS;
use crate::ports::FleetCall;
use crate::ports::FleetReply;
use crate::ports::fleet::MachineState;

/// Time between two reads of the list of VMs while no VM moves or is in maintenance,
/// in milliseconds.
const LIST_PERIOD_MS: u64 = 3000;

/// Time between two reads while a VM moves or is in maintenance, in milliseconds.
const BUSY_LIST_PERIOD_MS: u64 = 400;

impl JobEngine {
    /// Starts a read of the list of VMs, if one is due.
    pub(crate) fn list_machines(&mut self, now: u64) {
        let busy = self
            .fleet
            .orders
            .values()
            .any(|order| order.done_ms.is_some())
            || self.fleet.waves.values().any(|wave| !wave.down.is_empty());
        let period_ms = if busy {
            BUSY_LIST_PERIOD_MS
        } else {
            LIST_PERIOD_MS
        };
        let period_ms = if self.fleet.list_requested_ms.is_some() {
            period_ms.min(REQUESTED_LIST_GAP_MS)
        } else {
            period_ms
        };
        let stale = self.fleet.listed_ms.is_none_or(|at| now >= at + period_ms);
        if stale && self.fleet.listing_ms.is_none() {
            self.fleet.listing_ms = Some(now);
            self.fleet.list_requested_ms = None;
            self.fleet.partial_rows.clear();
            let page = String::new();
            self.actions.push(Action::Fleet(FleetCall::List { page }));
        }
    }

    /// Handles a page of the list of VMs; after the last page, removes finished orders.
    pub(crate) fn handle_machine_page(&mut self, reply: Option<FleetReply>, now: u64) {
        let Some(FleetReply::Page { rows, next }) = reply else {
            log::info!(event = "vm_list_failed", reply:? = reply; "");
            self.fleet.listing_ms = None;
            self.fleet.listed_ms = self.fleet.listed_ms.map(|_| now);
            return;
        };
        self.fleet.partial_rows.extend(rows);
        if !next.is_empty() {
            self.actions
                .push(Action::Fleet(FleetCall::List { page: next }));
            return;
        }
        let started_ms = self.fleet.listing_ms.take().unwrap_or(now);
        let rows = std::mem::take(&mut self.fleet.partial_rows);
        self.fleet.rows = rows
            .into_iter()
            .map(|row| (row.machine.clone(), row))
            .collect();
        self.fleet.listed_ms = Some(now);
        self.fleet.count_absences();
        let finished = self.remove_finished_orders(started_ms);
        for machine in finished {
            log::info!(event = "vm_order_finished", vm = machine.as_str(); "");
            // A worker that joined before the order was confirmed was evacuated for it.
            let row = self.fleet.rows.get(&machine);
            if let Some(view) = row.and_then(|row| self.workers.get_mut(&row.worker)) {
                view.evacuating = false;
            }
        }
        self.expire_ended_workers(started_ms, now);
        self.waiting.mark_all_due();
    }

    /// Removes the orders whose VM is back in service, or no longer exists, according to a list
    /// whose read began at `started_ms`; returns the VMs of those that were confirmed.
    fn remove_finished_orders(&mut self, started_ms: u64) -> Vec<String> {
        let (move_ms, maintenance_ms) = (self.settings.move_ms, self.settings.maintenance_ms);
        let (rows, absences) = (&self.fleet.rows, &self.fleet.absences);
        let is_removed = |machine: &String| {
            let count = absences.get(machine);
            count.is_some_and(|count| *count >= REMOVED_LISTS)
        };
        let is_away = |machine: &String| match rows.get(machine) {
            Some(row) => row.state != MachineState::Up,
            None => !is_removed(machine),
        };
        let mut finished = Vec::new();
        self.fleet.orders.retain(|machine, order| {
            let Some(done_ms) = order.done_ms else {
                return !is_removed(machine);
            };
            let duration_ms = match order.order {
                MachineOrder::Move(_) => move_ms,
                MachineOrder::Maintain(_) => maintenance_ms,
            };
            // A list read soon after the order may still show the VM in its former state.
            let is_finished = !is_away(machine) && started_ms > done_ms + duration_ms / 2;
            if is_finished {
                finished.push(machine.clone());
            }
            !is_finished
        });
        let orders = &self.fleet.orders;
        for wave in self.fleet.waves.values_mut() {
            wave.down
                .retain(|machine| orders.contains_key(machine) || is_away(machine));
            wave.remaining.retain(|machine| !is_removed(machine));
        }
        finished
    }
}

impl FleetState {
    /// Counts for each VM that has an order or is in a wave how many lists in a row lack it.
    fn count_absences(&mut self) {
        let waves = self.waves.values();
        let in_waves = waves.flat_map(|wave| wave.remaining.iter().chain(&wave.down));
        let expected = self.orders.keys().chain(in_waves);
        let absent = expected.filter(|machine| !self.rows.contains_key(*machine));
        let absent: BTreeSet<String> = absent.cloned().collect();
        self.absences.retain(|machine, _| absent.contains(machine));
        for machine in absent {
            *self.absences.entry(machine).or_default() += 1;
        }
    }
}
