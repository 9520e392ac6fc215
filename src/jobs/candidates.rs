//! Workers that a placement pass may choose, copied from their views.
//!
//! A pass compares all workers of a pool for each task. It reads these rows, which lie
//! side by side in memory and leave out the workers that accept no runs, instead of the
//! views of all workers. The rows are made at the first choice of a pass in a pool and
//! dropped with the pass.

use std::collections::HashMap;
use std::sync::Arc;

use crate::jobs::types::ResourceVector;
use crate::jobs::worker::RunCounts;
use crate::jobs::worker::WorkerView;

/// What placement compares of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerLoad {
    /// Total resources for runs.
    pub capacity: ResourceVector,
    /// Resources reserved by its runs.
    pub used: ResourceVector,
    /// Number of its runs of each kind.
    pub run_counts: RunCounts,
    /// Whether its VM is due for maintenance.
    pub maintenance_due: bool,
}

impl WorkerLoad {
    /// Returns the load of a worker.
    #[must_use]
    pub fn new(view: &WorkerView, maintenance_due: bool) -> Self {
        Self {
            capacity: view.entry.capacity,
            used: view.used,
            run_counts: view.run_counts,
            maintenance_due,
        }
    }

    /// Returns the free resources.
    #[must_use]
    pub fn free(&self) -> ResourceVector {
        self.capacity.saturating_sub(&self.used)
    }
}

/// A worker that accepts runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CandidateRow {
    /// Identifier of the worker.
    pub worker: Arc<str>,
    /// Its load.
    pub load: WorkerLoad,
}

/// The candidates of each pool in a placement pass, by ascending identifier.
#[derive(Clone, Debug, Default)]
pub struct PassCandidates {
    pools: HashMap<String, Vec<CandidateRow>>,
}

impl PassCandidates {
    /// Drops all rows; call this when a pass begins.
    pub fn clear(&mut self) {
        self.pools.clear();
    }

    /// Returns the rows of a pool, if they were made in this pass.
    #[must_use]
    pub fn rows(&self, pool: &str) -> Option<&[CandidateRow]> {
        self.pools.get(pool).map(Vec::as_slice)
    }

    /// Adds the rows of a pool, which must be sorted by identifier.
    pub fn insert(&mut self, pool: &str, rows: Vec<CandidateRow>) {
        self.pools.insert(pool.to_owned(), rows);
    }

    /// Updates the row of a worker, if there is one.
    pub fn update(&mut self, pool: &str, worker: &str, load: WorkerLoad) {
        let Some(rows) = self.pools.get_mut(pool) else {
            return;
        };
        if let Ok(at) = rows.binary_search_by(|row| (*row.worker).cmp(worker)) {
            rows[at].load = load;
        }
    }
}
