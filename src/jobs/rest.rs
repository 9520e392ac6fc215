//! VMs that no pool needs for long enough are moved to the standby pool, which costs
//! nothing.
//!
//! A move costs about as much as a VM in a pool for two seconds, so that a VM that is
//! needed again at once costs more than it saves. VMs rest only above the highest need in
//! a whole period or in the last 20 seconds, and above a reserve for a burst.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::jobs::engine::JobEngine;
use crate::jobs::fleet::MachineOrder;
use crate::jobs::lend::PoolDemand;
use crate::jobs::lend::vms_for;
use crate::jobs::moves::MoveReason;
use crate::jobs::moves::PlannedMove;
use crate::jobs::turns::STEP_MS;

/// Time over which the highest need of all pools is remembered, in milliseconds; a period
/// of turns of the usual length.
const REMEMBERED_MS: u64 = 20_000;

/// Margin above the remembered need without a clear period, in percent.
const MARGIN_PERCENT: usize = 15;

/// Time for which VMs must have been unneeded, in milliseconds: it exceeds the cost of the
/// two moves, out and back, of 3.4 seconds of a VM in a pool.
const UNNEEDED_MS: u64 = 4000;

/// Factor by which a burst exceeds the peak of a pool.
const BURST_FACTOR: f64 = 2.2;

/// Maximum number of VMs on their way to standby at the same time, so that few are missing
/// if load rises while they move.
const MAX_MOVING: usize = 4;

/// Need of all pools at a time, in VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetNeed {
    /// VMs that the pools want now.
    pub wanted: usize,
    /// Highest need within the next period; none if the period of a pool is not clear.
    pub forecast: Option<usize>,
    /// Highest need of a single pool in the last minute.
    pub largest_peak: usize,
    /// VMs in all pools but standby, without those on their way to it.
    pub present: usize,
}

/// Need of all pools over time. Times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct RestTracker {
    first_ms: Option<u64>,
    largest_peak: usize,
    wanted: VecDeque<(u64, usize)>,
    unneeded: VecDeque<(u64, usize)>,
}

impl RestTracker {
    /// Records the need and returns how many VMs are not needed for long enough to rest.
    pub fn update(&mut self, need: FleetNeed, now: u64) -> usize {
        let first_ms = *self.first_ms.get_or_insert(now);
        push_recent(&mut self.wanted, need.wanted, REMEMBERED_MS, now);
        let wanted = self.wanted.iter().map(|(_, wanted)| *wanted).max();
        let wanted = wanted.unwrap_or(need.wanted);
        // Where the period is clear, it repeats what was wanted in the last one; the forecast
        // itself has no part for backlog and trend.
        let required = match need.forecast {
            Some(forecast) => forecast.max(wanted),
            None => (wanted * (100 + MARGIN_PERCENT)).div_ceil(100),
        };
        self.largest_peak = self.largest_peak.max(need.largest_peak);
        let reserve = (self.largest_peak as f64 * BURST_FACTOR).ceil() as usize;
        let unneeded = need.present.saturating_sub(required.max(reserve));
        push_recent(&mut self.unneeded, unneeded, UNNEEDED_MS, now);
        // Before the first work, the reserve is unknown.
        if now < first_ms + REMEMBERED_MS || self.largest_peak == 0 {
            return 0;
        }
        let unneeded = self.unneeded.iter().map(|(_, vms)| *vms).min();
        unneeded.unwrap_or(0)
    }
}

/// Appends a value and removes those older than `window_ms`.
fn push_recent(values: &mut VecDeque<(u64, usize)>, value: usize, window_ms: u64, now: u64) {
    values.push_back((now, value));
    while values.front().is_some_and(|(at, _)| at + window_ms < now) {
        values.pop_front();
    }
}

impl JobEngine {
    /// Chooses up to `unneeded` VMs that move to the standby pool.
    pub(crate) fn choose_rest(
        &self,
        unneeded: usize,
        demands: &BTreeMap<String, PoolDemand>,
        targets: &BTreeMap<String, usize>,
        standby: &str,
        now: u64,
    ) -> Vec<PlannedMove> {
        let moving = self.fleet.orders.values();
        let moving = moving.filter(|order| order.order == MachineOrder::Move(standby.to_owned()));
        let mut left = unneeded.min(MAX_MOVING.saturating_sub(moving.count()));
        let serving = self.serving_machines();
        let mut spare: BTreeMap<&String, usize> = BTreeMap::new();
        for (pool, demand) in demands {
            let target = targets.get(pool).copied().unwrap_or(0);
            let outlook = self.lending.outlooks.get(pool).copied().unwrap_or_default();
            let serving = serving.get(pool).copied().unwrap_or(0);
            let above_target = demand.present.saturating_sub(target);
            spare.insert(pool, above_target.min(serving.saturating_sub(outlook.kept)));
        }
        let mut moves = Vec::new();
        for row in self.fleet.rows.values().rev() {
            let Some(spare) = spare.get_mut(&row.pool).filter(|spare| **spare > 0) else {
                continue;
            };
            if left == 0 {
                break;
            }
            if self.is_movable(row) && self.is_idle_for(row, UNNEEDED_MS, now) {
                *spare -= 1;
                left -= 1;
                moves.push(PlannedMove {
                    machine: row.machine.clone(),
                    pool: standby.to_owned(),
                    reason: MoveReason::Rest,
                });
            }
        }
        moves
    }

    /// Records the need of all pools and returns how many VMs may rest.
    pub(crate) fn update_rest(
        &mut self,
        demands: &BTreeMap<String, PoolDemand>,
        now: u64,
    ) -> usize {
        let need = self.fleet_need(demands, now);
        self.lending.rest.update(need, now)
    }

    fn fleet_need(&self, demands: &BTreeMap<String, PoolDemand>, now: u64) -> FleetNeed {
        let mut need = FleetNeed {
            wanted: demands.values().map(|demand| demand.wanted).sum(),
            present: demands.values().map(|demand| demand.present).sum(),
            ..FleetNeed::default()
        };
        let mut period_ms = Some(0);
        for (pool, load) in &self.loads {
            let Some(tracker) = self.lending.turns.get(pool) else {
                continue;
            };
            let peak = tracker.highest_rate(u64::MAX, now);
            need.largest_peak = need.largest_peak.max(vms_for(peak, load));
            let pattern = tracker.pattern();
            // Pools without work need no period.
            if peak > 0.0 {
                let own = pattern.map(|pattern| pattern.period_ms());
                period_ms = period_ms.zip(own).map(|(one, other)| one.max(other));
            }
        }
        need.forecast = period_ms.map(|period_ms| {
            let times = (now..=now + period_ms).step_by(STEP_MS as usize);
            let sums = times.map(|at| self.forecast_sum(demands, at));
            sums.max().unwrap_or(0)
        });
        need
    }

    /// Returns the expected need of all pools at a time, in VMs.
    fn forecast_sum(&self, demands: &BTreeMap<String, PoolDemand>, at: u64) -> usize {
        let vms = self.loads.iter().map(|(pool, load)| {
            let tracker = self.lending.turns.get(pool);
            let rate = tracker.and_then(|tracker| tracker.forecast(at));
            let min = demands.get(pool).map_or(0, |demand| demand.min);
            vms_for(rate.unwrap_or(0.0) + load.long_running, load).max(min)
        });
        vms.sum()
    }
}
