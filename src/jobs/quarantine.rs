//! Quarantine of workers at which runs fail in succession.

use crate::jobs::engine::JobEngine;
use crate::jobs::types::RunEnd;

/// Maximum count of consecutive failures of a worker; bounds the quarantine.
const MAX_FAILURE_STREAK: u32 = 6;

/// Consecutive failures after which a worker is quarantined. Only first failures of
/// tasks count, since a task that failed before may itself be at fault.
const QUARANTINE_FAILURES: u32 = 3;

/// Duration of the first quarantine of a worker, in milliseconds. The worker then gets
/// runs again; each further failure makes the next quarantine longer by as much.
const QUARANTINE_MS: u64 = 2000;

impl JobEngine {
    /// Updates a worker's consecutive failures and quarantines it if there are too many.
    ///
    /// `first_failure` tells whether the task had not failed before; other failures are
    /// not counted.
    pub(crate) fn record_run_outcome(
        &mut self,
        worker: &str,
        end: RunEnd,
        first_failure: bool,
        now: u64,
    ) {
        let Some(view) = self.workers.get_mut(worker) else {
            return;
        };
        match end {
            RunEnd::Done => view.failures = 0,
            RunEnd::Failed if first_failure => {
                view.failures = (view.failures + 1).min(MAX_FAILURE_STREAK);
                if view.failures >= QUARANTINE_FAILURES {
                    let excess = u64::from(view.failures - QUARANTINE_FAILURES + 1);
                    view.blocked_until_ms = now + QUARANTINE_MS * excess;
                    log::info!(
                        event = "worker_quarantined", worker = worker, failures = view.failures,
                        for_ms = QUARANTINE_MS * excess; ""
                    );
                }
            }
            _ => {}
        }
    }
}
