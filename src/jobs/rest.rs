//! VMs that no pool needs are moved to the standby pool, which costs nothing.
//!
//! A VM in standby is as far from a pool's peak as an idle VM of another pool: both need one
//! move. So VMs rest above a multiple of what all pools together have used lately, and only
//! as many leave standby as that multiple allows. Demand by arrivals is not used here: it
//! peaks at several times the use, and VMs would go out and back with each peak.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::jobs::engine::JobEngine;
use crate::jobs::fleet::MachineOrder;
use crate::jobs::lend::MIN_POOL_VMS;
use crate::jobs::lend::vms_for;
use crate::jobs::moves::MoveReason;
use crate::jobs::moves::PlannedMove;
use crate::jobs::turns::STEP_MS;

/// Time over which the highest use is remembered, in milliseconds: the turns of all pools.
const REMEMBERED_MS: u64 = 20_000;

/// Multiple of the highest use that stays out of standby: the next turn may need half as
/// much again as the highest one so far.
const USE_FACTOR: f64 = 1.5;

/// Multiple of a pool's own use that its idle VMs are kept for.
const POOL_FACTOR: f64 = 1.3;

/// VMs that stay out of standby besides, for pools that use none.
const RESERVE_VMS: usize = 16;

/// Time for which a VM must have been idle, in milliseconds.
const REST_IDLE_MS: u64 = 1000;

/// Maximum number of VMs on their way to standby at the same time, so that few are missing
/// if load rises while they move.
const MAX_MOVING: usize = 24;

/// Use of all pools over time. Times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct RestTracker {
    /// When work was first in progress; none before.
    first_work_ms: Option<u64>,
    uses: VecDeque<(u64, usize)>,
}

impl RestTracker {
    /// Records the VMs in use and returns how many VMs stay out of standby; none while the
    /// use is not known for long enough. `expected` is the use that is forecast for the next
    /// period.
    pub fn update(
        &mut self,
        used: usize,
        expected: usize,
        has_work: bool,
        now: u64,
    ) -> Option<usize> {
        if has_work {
            self.first_work_ms.get_or_insert(now);
        }
        self.uses.push_back((now, used));
        while self
            .uses
            .front()
            .is_some_and(|(at, _)| at + REMEMBERED_MS < now)
        {
            self.uses.pop_front();
        }
        let first_ms = self.first_work_ms?;
        if now < first_ms + REMEMBERED_MS {
            return None;
        }
        let highest = self.uses.iter().map(|(_, used)| *used).max()?;
        let kept = (highest.max(expected) as f64 * USE_FACTOR) as usize;
        Some(kept + RESERVE_VMS)
    }
}

impl JobEngine {
    /// Records the use of all pools and returns how many VMs may be out of standby; none for
    /// no limit.
    pub(crate) fn update_rest(&mut self, now: u64) -> Option<usize> {
        if !self.settings.rest_idle_vms {
            return None;
        }
        let loads = self.loads.values().filter(|load| load.largest_worker > 0.0);
        let used = loads.map(|load| (load.runnable + load.long_running) / load.largest_worker);
        let used = used.sum::<f64>().ceil() as usize;
        let has_work = self.loads.values().any(|load| load.runnable > 0.0);
        let expected = self.expected_use(now);
        self.lending.rest.update(used, expected, has_work, now)
    }

    /// Returns the highest expected use of all pools within their longest period, in VMs; 0
    /// without a clear period.
    fn expected_use(&self, now: u64) -> usize {
        let trackers = self.lending.turns.values();
        let periods = trackers.filter_map(|tracker| tracker.pattern());
        let Some(period_ms) = periods.map(|pattern| pattern.period_ms()).max() else {
            return 0;
        };
        let times = (now..=now + period_ms).step_by(STEP_MS as usize);
        let sums = times.map(|at| {
            let vms = self.loads.iter().map(|(pool, load)| {
                let tracker = self.lending.turns.get(pool);
                let rate = tracker.and_then(|tracker| tracker.forecast(at));
                vms_for(rate.unwrap_or(0.0) + load.long_running, load)
            });
            vms.sum()
        });
        sums.max().unwrap_or(0)
    }

    /// Chooses up to `unneeded` VMs that move to the standby pool, besides the moves that
    /// are planned already.
    pub(crate) fn choose_rest(
        &self,
        unneeded: usize,
        planned: &[PlannedMove],
        standby: &str,
        now: u64,
    ) -> Vec<PlannedMove> {
        let moving = self.fleet.orders.values();
        let moving = moving.filter(|order| order.order == MachineOrder::Move(standby.to_owned()));
        let left = unneeded.min(MAX_MOVING.saturating_sub(moving.count()));
        let mut spare = self.spare_machines(planned);
        let idle = self.fleet.rows.values().rev().filter(|row| {
            let is_planned = planned.iter().any(|planned| planned.machine == row.machine);
            !is_planned && self.is_movable(row) && self.is_idle_for(row, REST_IDLE_MS, now)
        });
        let resting = idle.filter(|row| {
            let spare = spare.get_mut(&row.pool).filter(|spare| **spare > 0);
            spare.map(|spare| *spare -= 1).is_some()
        });
        let moves = resting.take(left).map(|row| PlannedMove {
            machine: row.machine.clone(),
            pool: standby.to_owned(),
            reason: MoveReason::Rest,
        });
        moves.collect()
    }

    /// Returns how many VMs each pool has above its use and what its outlook keeps.
    fn spare_machines(&self, planned: &[PlannedMove]) -> BTreeMap<String, usize> {
        let serving = self.serving_machines();
        let mut spare = BTreeMap::new();
        for (pool, load) in self
            .loads
            .iter()
            .filter(|(_, load)| load.largest_worker > 0.0)
        {
            let used = (load.runnable + load.long_running) / load.largest_worker;
            let needed = (used * POOL_FACTOR).ceil() as usize + MIN_POOL_VMS;
            let outlook = self.lending.outlooks.get(pool).copied().unwrap_or_default();
            let taken = planned.iter().filter(|planned| {
                let row = self.fleet.rows.get(&planned.machine);
                row.is_some_and(|row| row.pool == *pool)
            });
            let serving = serving
                .get(pool)
                .copied()
                .unwrap_or(0)
                .saturating_sub(taken.count());
            let kept = needed.max(outlook.kept).max(load.min_workers);
            spare.insert(pool.clone(), serving.saturating_sub(kept));
        }
        spare
    }
}
