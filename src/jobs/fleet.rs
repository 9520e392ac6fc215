//! The VMs of a shard: their list, maintenance waves and orders in progress.
//!
//! An order moves a VM to another pool or starts its maintenance. Its worker is
//! evacuated first, so that few or no runs are lost; then the order is sent to the
//! platform. It is finished once the platform lists the VM as up again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::jobs::codec::EncodeError;
use crate::jobs::codec::encode_with;
use crate::jobs::engine::JobEngine;
use crate::jobs::engine::TimePair;
use crate::jobs::listed_workers::ListedWorkers;
use crate::jobs::permits::OrderPermits;
use crate::jobs::record::ShardKeys;
use crate::jobs::wave::StoredWave;
use crate::jobs::wave::WaveOrder;
use crate::jobs::wave::WavePace;
use crate::jobs::wave::WaveProgress;
use crate::jobs::writes::WriteBatch;
use crate::ports::FleetCall;
use crate::ports::FleetReply;
use crate::ports::fleet::MachineRow;
use crate::ports::fleet::MachineState;

/// How long a worker's entry in the store is ignored after its VM was moved or went
/// into maintenance, in milliseconds; longer than three of its heartbeats.
const IGNORE_ENTRY_MS: u64 = 15_000;

/// Time that a VM of a wave is unavailable besides its maintenance, in milliseconds:
/// while it is evacuated, and until its worker accepts runs again.
const WAVE_OVERHEAD_MS: u64 = 2000;

/// Part of a wave's time limit that is reserved for VMs that take longer, in
/// milliseconds.
const WAVE_MARGIN_MS: u64 = 6000;

/// An order for a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MachineOrder {
    /// Move to the pool of this name.
    Move(String),
    /// Maintenance for the wave of this number.
    Maintain(u64),
}

/// An order in progress. Times are on the boot clock, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderState {
    /// What is ordered.
    pub order: MachineOrder,
    /// When the evacuation of the VM's worker began.
    pub evacuating_since_ms: u64,
    /// Whether the call to the platform is in flight.
    pub call_in_flight: bool,
    /// Whether a call was not answered; it may have been carried out, or still be.
    pub unanswered: bool,
    /// Earliest time of the next call.
    pub not_before_ms: u64,
    /// When the platform confirmed the order; none before.
    pub done_ms: Option<u64>,
}

/// VMs, waves and orders of a shard. Times are on the boot clock, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct FleetState {
    /// VMs by name: as last listed, updated for the orders confirmed since.
    pub rows: BTreeMap<String, MachineRow>,
    /// When the list was last read in full or a read failed; none if it must be read
    /// before anything is planned.
    pub listed_ms: Option<u64>,
    /// When the read in progress began; none if there is no such read.
    pub listing_ms: Option<u64>,
    /// VMs on the pages that the read in progress has returned so far.
    pub partial_rows: Vec<MachineRow>,
    /// Maintenance waves by number.
    pub waves: BTreeMap<u64, WaveProgress>,
    /// Orders in progress by VM.
    pub orders: BTreeMap<String, OrderState>,
    /// Whether the address of the platform's list of VMs is configured.
    pub enabled: bool,
    /// Workers whose VM was moved or went into maintenance, and when; their entries in
    /// the store may outlast them.
    pub departed: BTreeMap<String, u64>,
    /// Workers of VMs that are due for maintenance.
    pub due_workers: BTreeSet<String>,
    /// Permits to order VMs.
    pub permits: OrderPermits,
    /// Workers as the lists of VMs have shown them.
    pub(crate) listed_workers: ListedWorkers,
    /// Number of consecutive lists without a VM that has an order or is in a wave.
    pub(crate) absences: BTreeMap<String, u32>,
    /// When a read of the list was last requested because a worker did not answer; none once
    /// a read has begun since.
    pub(crate) list_requested_ms: Option<u64>,
}

impl FleetState {
    /// Returns whether a worker's VM is due for maintenance.
    #[must_use]
    pub fn is_maintenance_due(&self, worker: &str) -> bool {
        self.due_workers.contains(worker)
    }

    /// Returns when waves and permits are to be stored: 0, which is at once, if any
    /// has changed, and none otherwise.
    #[must_use]
    pub fn next_write_ms(&self) -> Option<u64> {
        let waves = self.waves.values().any(|wave| wave.dirty);
        (waves || self.permits.is_dirty()).then_some(0)
    }

    /// Adds the permits and waves that have changed to a commit.
    pub(crate) fn take_writes(
        &mut self,
        keys: ShardKeys,
        holder: &str,
        time: TimePair,
        batch: &mut WriteBatch,
    ) -> Result<(), EncodeError> {
        if self.permits.is_rewrite_due(time.boot) {
            let record = self.permits.begin_write(holder, time);
            batch.push(keys.permits(), record.encode()?);
            batch.permits = true;
        }
        for (number, wave) in self.waves.iter_mut().filter(|(_, wave)| wave.dirty) {
            let key = format!("{}{number}", keys.waves());
            batch.push(key, encode_with(&wave.record, &wave.extension(time))?);
            batch.waves.push((*number, wave.record.clone()));
            wave.dirty = false;
        }
        Ok(())
    }

    /// Handles the success of a commit.
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

    /// Handles the failure of a commit: its permits and waves are to be stored again.
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

    /// Returns the VM that a worker runs on.
    #[must_use]
    pub fn machine_of(&self, worker: &str) -> Option<&MachineRow> {
        self.rows.values().find(|row| row.worker == worker)
    }

    /// Updates the workers whose VM is due for maintenance in an incomplete wave.
    fn update_due_workers(&mut self) {
        let waves = self.waves.values().filter(|wave| !wave.record.complete);
        let due: BTreeSet<&String> = waves.flat_map(WaveProgress::due).collect();
        let rows = self.rows.values().filter(|row| due.contains(&row.machine));
        self.due_workers = rows.map(|row| row.worker.clone()).collect();
    }
}

impl JobEngine {
    /// Adds a requested wave; `stored` is its progress if a former owner has begun it.
    /// A wave that is known already is left as it is.
    pub fn add_wave(&mut self, order: WaveOrder, stored: Option<StoredWave>, time: TimePair) {
        let number = order.wave;
        if self.fleet.waves.contains_key(&number) {
            return;
        }
        log::info!(
            event = "wave_requested", wave = number, vms = order.machines.len(),
            max_down = order.most, limit_s = order.limit_s, taken_over = stored.is_some(); ""
        );
        let wave = WaveProgress::new(order, stored, time);
        self.fleet.waves.insert(number, wave);
        self.fleet.listed_ms = None;
    }

    /// Plans moves and maintenance, and sends the orders that are due.
    pub(crate) fn plan_fleet(&mut self, now: u64) {
        let loads_updated = self.update_loads(now);
        if !self.fleet.enabled || self.deposed {
            return;
        }
        self.fleet
            .departed
            .retain(|_, at| now < *at + IGNORE_ENTRY_MS);
        self.list_machines(now);
        if self.fleet.listed_ms.is_none() {
            return;
        }
        self.fleet.update_due_workers();
        self.complete_waves();
        self.plan_waves(now);
        if loads_updated {
            self.plan_moves(now);
        }
        self.evacuate_machines(now);
        self.send_orders(now);
    }

    /// Handles the platform's reply to a call about VMs; none if there was no answer.
    pub fn handle_fleet_reply(&mut self, call: &FleetCall, reply: Option<FleetReply>, now: u64) {
        match call {
            FleetCall::List { .. } => self.handle_machine_page(reply, now),
            FleetCall::Move { machine, .. } | FleetCall::Maintain { machine, .. } => {
                self.handle_order_reply(machine, reply, now);
            }
        }
    }

    /// Marks finished waves as complete.
    fn complete_waves(&mut self) {
        for (number, wave) in &mut self.fleet.waves {
            if wave.is_finished() && !wave.record.complete {
                log::info!(event = "wave_complete", wave = number; "");
                wave.record.complete = true;
                wave.dirty = true;
            }
        }
    }

    /// Chooses the VMs that are evacuated for maintenance next.
    fn plan_waves(&mut self, now: u64) {
        let mut chosen = Vec::new();
        for (number, wave) in &self.fleet.waves {
            if wave.record.complete {
                continue;
            }
            let is_evacuating = |machine: &&String| {
                self.fleet
                    .orders
                    .get(*machine)
                    .is_some_and(|order| order.done_ms.is_none())
            };
            let evacuating = wave.due().filter(is_evacuating).count();
            let away = evacuating + wave.down.len();
            let to_evacuate = self.wave_pace(wave, away, now).evacuations();
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
                    .take(to_evacuate)
                    .map(|(_, machine)| (machine.clone(), *number)),
            );
        }
        for (machine, wave) in chosen {
            self.begin_order(&machine, MachineOrder::Maintain(wave), now);
        }
    }

    /// Returns what the pace of a wave depends on; `away` VMs are evacuated or down now.
    fn wave_pace(&self, wave: &WaveProgress, away: usize, now: u64) -> WavePace {
        let limit_ms = wave.order.limit_ms().saturating_sub(WAVE_MARGIN_MS);
        let end_ms = wave.first_seen_ms.saturating_add(limit_ms);
        WavePace {
            left: wave.due().count() + wave.down.len(),
            away,
            left_ms: end_ms.saturating_sub(now),
            per_vm_ms: self.settings.maintenance_ms + WAVE_OVERHEAD_MS,
            most: wave.order.most,
            is_short: self.lending.is_short,
        }
    }

    /// Returns the cost of evacuating a VM; the lowest is chosen first. Long-running
    /// runs count most, since they do not end by themselves.
    fn evacuation_cost(&self, row: &MachineRow) -> u64 {
        let Some(view) = self.workers.get(&row.worker) else {
            return 0;
        };
        let run_counts = view.run_counts;
        u64::from(run_counts.long_running) * 100 + view.runs.len() as u64
    }
}
