//! VMs that each pool needs soon, from the forecast of its turns.

use std::collections::BTreeMap;

use crate::jobs::engine::JobEngine;
use crate::jobs::lend::vms_for;
use crate::jobs::load::PoolLoad;
use crate::jobs::turns::TurnChange;
use crate::jobs::turns::TurnTracker;

/// Time from the end of a VM's move until its worker has registered and accepts runs, in
/// milliseconds.
const WORKER_READY_MS: u64 = 300;

/// Expected need of a pool, in VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolOutlook {
    /// VMs required by current work and its trend alone.
    pub current: usize,
    /// VMs required until a VM whose move begins now could serve; none without a clear
    /// period.
    pub forecast: Option<usize>,
    /// VMs that the pool does not give to the expected turn of another pool: what it needs
    /// within the duration of two moves, in which a VM could leave and return.
    pub kept: usize,
}

impl JobEngine {
    /// Returns the outlook of a pool.
    ///
    /// `undecayed` is the pool's need at this moment, and `current` the same with its slow
    /// decay, which stands for the forecast in pools without a clear period.
    pub(crate) fn pool_outlook(
        &mut self,
        pool: &str,
        load: &PoolLoad,
        undecayed: usize,
        current: usize,
        now: u64,
    ) -> PoolOutlook {
        let move_ms = self.settings.move_ms;
        let tracker = self.lending.turns.entry(pool.to_owned()).or_default();
        if let Some(change) = tracker.update(now) {
            log_change(pool, tracker, change, now);
        }
        let vms = |rate: f64| vms_for(rate + load.long_running, load);
        let forecast = tracker.highest_forecast(now, now + move_ms + WORKER_READY_MS);
        let two_moves = tracker.highest_forecast(now, now + 2 * move_ms);
        let kept = match two_moves {
            Some(rate) => undecayed.max(vms(rate)),
            None => current.max(vms(tracker.highest_rate(2 * move_ms, now))),
        };
        PoolOutlook {
            current,
            forecast: forecast.map(vms),
            kept,
        }
    }

    /// Returns the forecast number of VMs, if any, and the present one of each pool.
    #[must_use]
    pub fn pool_forecasts(&self) -> BTreeMap<String, (Option<usize>, usize)> {
        let rows = self.loads.iter().map(|(pool, load)| {
            let outlook = self.lending.outlooks.get(pool);
            let forecast = outlook.and_then(|outlook| outlook.forecast);
            (pool.clone(), (forecast, load.present))
        });
        rows.collect()
    }
}

fn log_change(pool: &str, tracker: &TurnTracker, change: TurnChange, now: u64) {
    match change {
        TurnChange::Learned(pattern) => {
            let next_ms = tracker.next_turn_ms(now);
            let next_ms = next_ms.map_or(-1, |at| at.saturating_sub(now) as i64);
            log::info!(
                event = "turn_learned", pool = pool, period_ms = pattern.period_ms(),
                next_turn_in_ms = next_ms, correlation = pattern.correlation,
                peak = pattern.peak as u64; ""
            );
        }
        TurnChange::Faded(pattern) => log::info!(
            event = "turn_dropped", pool = pool, period_ms = pattern.period_ms(),
            reason = "not_clear"; ""
        ),
        TurnChange::Contradicted(pattern) => log::info!(
            event = "turn_dropped", pool = pool, period_ms = pattern.period_ms(),
            reason = "contradicted"; ""
        ),
    }
}
