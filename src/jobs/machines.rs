//! Orders for VMs: evacuating a VM, sending the order for its move or maintenance, and
//! handling the platform's reply.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::jobs::actions::Action;
use crate::jobs::engine::JobEngine;
use crate::jobs::fleet::MachineOrder;
use crate::jobs::fleet::OrderState;
use crate::jobs::stops::StopReason;
use crate::jobs::types::TaskId;
use crate::jobs::types::WorkerState;
use crate::jobs::worker::WorkerView;
use crate::ports::FleetCall;
use crate::ports::FleetReply;
use crate::ports::fleet::MachineRow;
use crate::ports::fleet::MachineState;

/// Delay before an order that was refused or not answered is sent again, in
/// milliseconds.
const ORDER_RETRY_MS: u64 = 500;

/// How long a wave waits for the last runs on a VM under evacuation, in milliseconds;
/// most end within this time by themselves.
const EVACUATION_WAIT_MS: u64 = 4000;

impl OrderState {
    /// Returns whether a call was sent that is not known to have been carried out or refused.
    fn may_be_carried_out(&self) -> bool {
        self.done_ms.is_none() && (self.call_in_flight || self.unanswered)
    }
}

impl JobEngine {
    /// Records an order for a VM and starts to evacuate its worker.
    pub(crate) fn begin_order(&mut self, machine: &str, order: MachineOrder, now: u64) {
        log::info!(event = "vm_evacuating", vm = machine, order:? = order; "");
        if let Some(row) = self.fleet.rows.get(machine)
            && let Some(view) = self.workers.get_mut(&row.worker)
        {
            view.evacuating = true;
        }
        self.fleet.orders.insert(
            machine.to_owned(),
            OrderState {
                order,
                evacuating_since_ms: now,
                call_in_flight: false,
                unanswered: false,
                not_before_ms: now,
                done_ms: None,
            },
        );
    }

    /// Evicts long-running runs from VMs under evacuation and from draining workers, as
    /// far as their steps allow.
    pub(crate) fn evacuate_machines(&mut self, now: u64) {
        let orders = self
            .fleet
            .orders
            .iter()
            .filter(|(_, order)| order.done_ms.is_none());
        let evacuating = orders.filter_map(|(machine, _)| self.fleet.rows.get(machine));
        let mut workers: Vec<String> = evacuating.map(|row| row.worker.clone()).collect();
        for worker in &workers {
            if let Some(view) = self.workers.get_mut(worker) {
                view.evacuating = true;
            }
        }
        let draining = self
            .workers
            .iter()
            .filter(|(_, view)| view.entry.state == WorkerState::Draining);
        workers.extend(draining.map(|(id, _)| id.clone()));
        for worker in workers {
            let Some(view) = self.workers.get(&worker) else {
                continue;
            };
            let runs: Vec<_> = view.runs.iter().cloned().collect();
            for (task, run) in runs {
                if self.may_evict(&task, &worker, run, now) {
                    self.stop_run(&task, &worker, run, StopReason::Evicted, now);
                }
            }
        }
    }

    /// Returns whether a run may be evicted now: it is long-running, enough other tasks
    /// of its step are available, and another worker can run its task.
    pub(crate) fn may_evict(&mut self, task: &TaskId, worker: &str, run: u32, now: u64) -> bool {
        let phase = self.run_phase(task, worker, run);
        let Some(job) = self.jobs.get(&task.job) else {
            return false;
        };
        let Some(spec) = job.step_spec(task).filter(|spec| spec.lasting).cloned() else {
            return false;
        };
        if phase.is_none_or(crate::jobs::task::RunPhase::is_stopping) {
            return false;
        }
        if self.is_at_disruption_limit(task) {
            return false;
        }
        let pool = self.pool_of(job).to_owned();
        self.choose_worker(task, &pool, &spec, false, now).is_some()
    }

    /// Returns how many more VMs may go down now for each wave.
    fn wave_disruptions_allowed(&self, now: u64) -> BTreeMap<u64, usize> {
        let mut allowed = BTreeMap::new();
        for (number, wave) in &self.fleet.waves {
            let sent = self.fleet.orders.iter().filter(|(_, order)| {
                order.may_be_carried_out() && order.order == MachineOrder::Maintain(*number)
            });
            let sent: BTreeSet<&String> = sent.map(|(machine, _)| machine).collect();
            // A former owner may have ordered VMs that its stored record does not list.
            let maybe_down = wave.due().filter(|machine| {
                let row = self.fleet.rows.get(*machine);
                let is_down = row.is_some_and(|row| row.state == MachineState::Maintenance);
                is_down || self.fleet.permits.is_blocked(machine, now)
            });
            let maybe_down = maybe_down
                .filter(|machine| !wave.down.contains(*machine) && !sent.contains(machine));
            let used = sent.len() + maybe_down.count();
            allowed.insert(*number, wave.disruptions_allowed().saturating_sub(used));
        }
        allowed
    }

    /// Sends the orders whose VM is evacuated, as far as waves and permits allow.
    pub(crate) fn send_orders(&mut self, now: u64) {
        let mut allowed = self.wave_disruptions_allowed(now);
        let mut calls = Vec::new();
        for (machine, order) in &self.fleet.orders {
            let is_ready =
                order.done_ms.is_none() && !order.call_in_flight && now >= order.not_before_ms;
            let Some(row) = self.fleet.rows.get(machine).filter(|_| is_ready) else {
                continue;
            };
            if row.state != MachineState::Up || !self.is_evacuated(row, order, now) {
                continue;
            }
            if self.fleet.permits.is_blocked(machine, now) {
                continue;
            }
            // A repeated order is counted already.
            if let MachineOrder::Maintain(wave) = &order.order
                && !order.unanswered
            {
                let Some(left) = allowed.get_mut(wave).filter(|left| **left > 0) else {
                    continue;
                };
                *left -= 1;
            }
            calls.push((machine.clone(), order.order.clone()));
        }
        for (machine, order) in calls {
            if !self.fleet.permits.request_permit(&machine, now) {
                continue;
            }
            if let Some(state) = self.fleet.orders.get_mut(&machine) {
                state.call_in_flight = true;
            }
            let (holder, epoch) = (self.settings.holder.clone(), self.epoch);
            log::info!(event = "vm_ordered", vm = machine.as_str(), order:? = order, epoch = epoch; "");
            self.actions.push(Action::Fleet(match order {
                MachineOrder::Move(pool) => FleetCall::Move {
                    machine,
                    pool,
                    holder,
                    epoch,
                },
                MachineOrder::Maintain(wave) => FleetCall::Maintain {
                    machine,
                    wave,
                    holder,
                    epoch,
                },
            }));
        }
    }

    /// Returns whether a VM's order may be sent: nothing runs on the VM, or a wave has
    /// waited long enough and only runs are left that are not long-running.
    pub(crate) fn is_evacuated(&self, row: &MachineRow, order: &OrderState, now: u64) -> bool {
        let Some(view) = self.workers.get(&row.worker) else {
            // Inherited runs may be alive at a worker without an entry.
            let mut orphaned = self.orphaned_runs.iter();
            return !orphaned.any(|(_, worker, _)| *worker == row.worker);
        };
        if view.runs.is_empty() {
            return true;
        }
        let waits_for_all = matches!(order.order, MachineOrder::Move(_))
            || now < order.evacuating_since_ms + EVACUATION_WAIT_MS;
        !waits_for_all && view.run_counts.long_running == 0
    }

    /// Handles the platform's reply to an order; none if there was no answer.
    pub(crate) fn handle_order_reply(
        &mut self,
        machine: &str,
        reply: Option<FleetReply>,
        now: u64,
    ) {
        let Some(order) = self.fleet.orders.get_mut(machine) else {
            return;
        };
        order.call_in_flight = false;
        order.unanswered |= reply.is_none();
        let kind = order.order.clone();
        log::info!(event = "vm_order_answered", vm = machine, order:? = kind, reply:? = reply; "");
        match reply {
            Some(FleetReply::Done) => {
                order.done_ms = Some(now);
                self.record_departure(machine, &kind, now);
            }
            Some(FleetReply::Refused { status: 400, .. }) => {
                self.fleet.orders.remove(machine);
                for wave in self.fleet.waves.values_mut() {
                    if kind == MachineOrder::Maintain(wave.order.wave) {
                        wave.remaining.remove(machine);
                    }
                }
            }
            _ => {
                // The order may have been carried out; sending it again does no harm.
                order.not_before_ms = now + ORDER_RETRY_MS;
                if let MachineOrder::Move(_) = kind {
                    self.cancel_order(machine);
                }
            }
        }
    }

    /// Cancels an order, lets the VM's worker accept runs again, and makes the list of
    /// VMs due to be read.
    pub(crate) fn cancel_order(&mut self, machine: &str) {
        self.fleet.orders.remove(machine);
        self.fleet.listed_ms = self.fleet.listed_ms.map(|_| 0);
        if let Some(row) = self.fleet.rows.get(machine)
            && let Some(view) = self.workers.get_mut(&row.worker)
        {
            view.evacuating = false;
        }
    }

    /// Records that a VM is moving or in maintenance.
    ///
    /// A worker without runs is forgotten. One with runs may have joined since the VM left, as
    /// an order that was carried out before is confirmed again; lists show whether it has ended.
    pub(crate) fn record_departure(&mut self, machine: &str, order: &MachineOrder, now: u64) {
        let Some(row) = self.fleet.rows.get_mut(machine) else {
            return;
        };
        let worker = row.worker.clone();
        match order {
            MachineOrder::Move(pool) => {
                row.state = MachineState::Moving;
                row.pool.clone_from(pool);
            }
            MachineOrder::Maintain(number) => {
                row.state = MachineState::Maintenance;
                if let Some(wave) = self.fleet.waves.get_mut(number) {
                    wave.set_ordered(machine);
                }
            }
        }
        let has_runs = |view: &WorkerView| !view.runs.is_empty();
        if !worker.is_empty() && !self.workers.get(&worker).is_some_and(has_runs) {
            self.workers.remove(&worker);
            self.remove_worker_advice(&worker);
            // Another worker at its address is no evidence of a crash any more.
            self.lost_workers.remove(&worker);
            self.fleet.departed.insert(worker, now);
        }
    }
}
