//! The fleet of a shard: list of VMs, maintenance waves and orders under way.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::jobs::actions::Action;
use crate::jobs::engine::JobEngine;
use crate::jobs::engine::TimePair;
use crate::jobs::permits::OrderPermits;
use crate::jobs::record::EncodeError;
use crate::jobs::record::ShardKeys;
use crate::jobs::record::WaveRecord;
use crate::jobs::record::encode;
use crate::jobs::wave::WaveOrder;
use crate::jobs::wave::WaveProgress;
use crate::jobs::writes::WriteBatch;
use crate::ports::FleetCall;
use crate::ports::FleetReply;
use crate::ports::fleet::MachineRow;
use crate::ports::fleet::MachineState;

/// Time between two readings of the list, in milliseconds, while nothing is under way.
const LIST_MS: u64 = 3000;

/// Likewise while VMs move or are in maintenance.
const LIST_BUSY_MS: u64 = 400;

/// How long the entry of a worker whose VM was ordered away is ignored, in
/// milliseconds: longer than three of its heartbeats.
const LEFT_MS: u64 = 15_000;

/// VMs of a wave that are emptied ahead of those whose turn it is.
const EMPTY_AHEAD: usize = 1;

/// Time that a VM of a wave is away besides its maintenance, in milliseconds: until
/// it is empty, and until its worker takes work again.
const WAVE_OVERHEAD_MS: u64 = 2000;

/// Kept of a wave's time for VMs that take longer, in milliseconds.
const WAVE_MARGIN_MS: u64 = 6000;

/// An order for a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MachineOrder {
    /// To another pool.
    Move(String),
    /// Maintenance for a wave.
    Maintain(u64),
}

/// An order under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderState {
    /// What is ordered.
    pub order: MachineOrder,
    /// When the emptying began, on the boot clock.
    pub evacuating_since_ms: u64,
    /// Whether a call is under way.
    pub call_in_flight: bool,
    /// No call before this time on the boot clock.
    pub not_before_ms: u64,
    /// When it was carried out, on the boot clock.
    pub done_ms: Option<u64>,
}

/// VMs, waves and orders.
#[derive(Clone, Debug, Default)]
pub struct FleetState {
    /// VMs by name, as last listed.
    pub rows: BTreeMap<String, MachineRow>,
    /// When the list was last read in full, on the boot clock.
    pub listed_ms: Option<u64>,
    /// Whether a reading is under way, and since when.
    pub listing_ms: Option<u64>,
    /// Pages read so far.
    pub pages: Vec<MachineRow>,
    /// Waves.
    pub waves: BTreeMap<u64, WaveProgress>,
    /// Orders under way by VM.
    pub orders: BTreeMap<String, OrderState>,
    /// Whether there is a list of VMs to call.
    pub enabled: bool,
    /// Workers whose VM was ordered away, and when; their entries may stay a while.
    pub departed: BTreeMap<String, u64>,
    /// Workers of VMs that are due for maintenance.
    pub due_workers: BTreeSet<String>,
    /// Permits to order VMs.
    pub permits: OrderPermits,
}

impl FleetState {
    /// Tells whether a worker's VM is due for maintenance.
    #[must_use]
    pub fn is_maintenance_due(&self, worker: &str) -> bool {
        self.due_workers.contains(worker)
    }

    /// Returns when waves or permits are to be stored; at once, if any.
    #[must_use]
    pub fn next_write_ms(&self) -> Option<u64> {
        let waves = self.waves.values().any(|wave| wave.dirty);
        (waves || self.permits.is_dirty()).then_some(0)
    }

    pub(crate) fn take_writes(
        &mut self,
        keys: ShardKeys,
        holder: &str,
        time: TimePair,
        batch: &mut WriteBatch,
    ) -> Result<(), EncodeError> {
        if self.permits.is_dirty() {
            let record = self.permits.begin_write(holder, time);
            batch.push(keys.permits(), encode(&record)?);
            batch.permits = true;
        }
        for (number, wave) in self.waves.iter_mut().filter(|(_, wave)| wave.dirty) {
            let key = format!("{}{number}", keys.waves());
            batch.push(key, encode(&wave.record)?);
            batch.waves.push((*number, wave.record.clone()));
            wave.dirty = false;
        }
        Ok(())
    }

    pub(crate) fn write_succeeded(&mut self, batch: &WriteBatch) {
        if batch.permits {
            self.permits.write_succeeded();
        }
        for (number, record) in &batch.waves {
            log::info!(
                event = "wave_stored", wave = number, ordered = record.ordered.len(),
                complete = record.complete; ""
            );
        }
    }

    pub(crate) fn write_failed(&mut self, batch: &WriteBatch) {
        if batch.permits {
            self.permits.write_failed();
        }
        for (number, _) in &batch.waves {
            if let Some(wave) = self.waves.get_mut(number) {
                wave.dirty = true;
            }
        }
    }

    /// Returns the VM of a worker.
    #[must_use]
    pub fn machine_of(&self, worker: &str) -> Option<&MachineRow> {
        self.rows.values().find(|row| row.worker == worker)
    }

    fn update_due_workers(&mut self) {
        let waves = self.waves.values().filter(|wave| !wave.record.complete);
        let due: BTreeSet<&String> = waves.flat_map(WaveProgress::due).collect();
        let rows = self.rows.values().filter(|row| due.contains(&row.machine));
        self.due_workers = rows.map(|row| row.worker.clone()).collect();
    }
}

impl JobEngine {
    /// Takes in a requested wave.
    pub fn add_wave(&mut self, order: WaveOrder, record: Option<WaveRecord>, now: u64) {
        let number = order.wave;
        if self.fleet.waves.contains_key(&number) {
            return;
        }
        log::info!(
            event = "wave_requested", wave = number, vms = order.machines.len(),
            most = order.most, limit_s = order.limit_s, taken_over = record.is_some(); ""
        );
        let dirty = record.is_none();
        let record = record.unwrap_or_default();
        // Those ordered by a former owner may still be down.
        let down = if record.complete {
            BTreeSet::new()
        } else {
            record.ordered.iter().cloned().collect()
        };
        self.fleet.waves.insert(
            number,
            WaveProgress {
                order,
                record,
                down,
                dirty,
                first_seen_ms: now,
                ..WaveProgress::default()
            },
        );
        self.fleet.listed_ms = None;
    }

    /// Plans moves and maintenance and gives the orders that are due.
    pub(crate) fn plan_fleet(&mut self, now: u64) {
        let summed = self.update_loads(now);
        if !self.fleet.enabled || self.deposed {
            return;
        }
        self.fleet.departed.retain(|_, at| now < *at + LEFT_MS);
        self.list_machines(now);
        if self.fleet.listed_ms.is_none() {
            return;
        }
        self.fleet.update_due_workers();
        self.complete_waves();
        self.plan_waves(now);
        if summed {
            self.plan_moves(now);
        }
        self.evacuate_machines(now);
        self.send_orders(now);
    }

    fn list_machines(&mut self, now: u64) {
        let busy = self
            .fleet
            .orders
            .values()
            .any(|order| order.done_ms.is_some())
            || self.fleet.waves.values().any(|wave| !wave.down.is_empty());
        let period_ms = if busy { LIST_BUSY_MS } else { LIST_MS };
        let stale = self.fleet.listed_ms.is_none_or(|at| now >= at + period_ms);
        if stale && self.fleet.listing_ms.is_none() {
            self.fleet.listing_ms = Some(now);
            self.fleet.pages.clear();
            let page = String::new();
            self.actions.push(Action::Fleet(FleetCall::List { page }));
        }
    }

    /// Takes in what became of a call to the list of VMs; none if not answered.
    pub fn handle_fleet_reply(&mut self, call: &FleetCall, reply: Option<FleetReply>, now: u64) {
        match call {
            FleetCall::List { .. } => self.handle_machine_page(reply, now),
            FleetCall::Move { machine, .. } | FleetCall::Maintain { machine, .. } => {
                self.handle_order_reply(machine, reply, now);
            }
        }
    }

    fn handle_machine_page(&mut self, reply: Option<FleetReply>, now: u64) {
        let Some(FleetReply::Page { rows, next }) = reply else {
            log::info!(event = "list_failed", reply:? = reply; "");
            self.fleet.listing_ms = None;
            self.fleet.listed_ms = self.fleet.listed_ms.map(|_| now);
            return;
        };
        self.fleet.pages.extend(rows);
        if !next.is_empty() {
            self.actions
                .push(Action::Fleet(FleetCall::List { page: next }));
            return;
        }
        let started_ms = self.fleet.listing_ms.take().unwrap_or(now);
        let rows = std::mem::take(&mut self.fleet.pages);
        self.fleet.rows = rows
            .into_iter()
            .map(|row| (row.machine.clone(), row))
            .collect();
        self.fleet.listed_ms = Some(now);
        let (move_ms, maintenance_ms) = (self.settings.move_ms, self.settings.maintenance_ms);
        let rows = &self.fleet.rows;
        let mut back = Vec::new();
        self.fleet.orders.retain(|machine, order| {
            let Some(done_ms) = order.done_ms else {
                return rows.contains_key(machine);
            };
            let takes_ms = match order.order {
                MachineOrder::Move(_) => move_ms,
                MachineOrder::Maintain(_) => maintenance_ms,
            };
            let up = rows
                .get(machine)
                .is_none_or(|row| row.state == MachineState::Up);
            let ended = up && started_ms > done_ms + takes_ms / 2;
            if ended {
                back.push(machine.clone());
            }
            !ended
        });
        let orders = &self.fleet.orders;
        for wave in self.fleet.waves.values_mut() {
            wave.down.retain(|machine| {
                let under_way = orders.contains_key(machine);
                let up = rows
                    .get(machine)
                    .is_none_or(|row| row.state == MachineState::Up);
                under_way || !up
            });
            let missing = wave
                .order
                .machines
                .iter()
                .filter(|machine| !rows.contains_key(*machine));
            let missing: Vec<String> = missing.cloned().collect();
            wave.skipped.extend(missing);
        }
        for machine in back {
            log::info!(event = "vm_back", vm = machine.as_str(); "");
        }
        self.placement_due = true;
    }

    fn complete_waves(&mut self) {
        for (number, wave) in &mut self.fleet.waves {
            if wave.is_finished() && !wave.record.complete {
                log::info!(event = "wave_complete", wave = number; "");
                wave.record.complete = true;
                wave.dirty = true;
            }
        }
    }

    /// Chooses the VMs that are emptied for maintenance next.
    fn plan_waves(&mut self, now: u64) {
        let mut chosen = Vec::new();
        for (number, wave) in &self.fleet.waves {
            if wave.record.complete {
                continue;
            }
            let emptying = |machine: &&String| {
                self.fleet
                    .orders
                    .get(*machine)
                    .is_some_and(|order| order.done_ms.is_none())
            };
            let emptied = wave.due().filter(emptying).count();
            let most = self.wave_concurrency(wave, now);
            let wanted = (most + EMPTY_AHEAD).saturating_sub(emptied + wave.down.len());
            let mut due: Vec<(u64, &String)> = Vec::new();
            for machine in wave
                .due()
                .filter(|machine| !self.fleet.orders.contains_key(*machine))
            {
                let row = self.fleet.rows.get(machine);
                if let Some(row) = row.filter(|row| row.state == MachineState::Up) {
                    due.push((self.evacuation_cost(row), machine));
                }
            }
            due.sort_unstable();
            chosen.extend(
                due.into_iter()
                    .take(wanted)
                    .map(|(_, machine)| (machine.clone(), *number)),
            );
        }
        for (machine, wave) in chosen {
            self.begin_order(&machine, MachineOrder::Maintain(wave), now);
        }
    }

    /// Number of VMs that may be away for a wave: as few as its time allows, since
    /// each is missing elsewhere.
    fn wave_concurrency(&self, wave: &WaveProgress, now: u64) -> usize {
        let end_ms =
            wave.first_seen_ms + (wave.order.limit_s * 1000).saturating_sub(WAVE_MARGIN_MS);
        let left_ms = end_ms.saturating_sub(now).max(1);
        let away_ms = self.settings.maintenance_ms + WAVE_OVERHEAD_MS;
        let left = wave.due().count() + wave.down.len();
        let pace = (left as u64 * away_ms).div_ceil(left_ms) as usize;
        pace.clamp(1, wave.order.most.max(1))
    }

    /// Cost of emptying a VM; the least is taken first.
    fn evacuation_cost(&self, row: &MachineRow) -> u64 {
        let Some(view) = self.workers.get(&row.worker) else {
            return 0;
        };
        let run_counts = view.run_counts;
        u64::from(run_counts.long_running) * 100 + view.runs.len() as u64
    }
}
