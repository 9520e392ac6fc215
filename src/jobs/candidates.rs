//! Workers that placement may choose, as rows copied from their views.
//!
//! For each task, placement compares all workers of a pool. The rows are contiguous in
//! memory and leave out the workers that accept no runs, so this is cheaper than reading
//! all views. A row is updated when a run is placed or released; all other changes appear
//! when the rows are rebuilt, at each tick. A chosen worker must therefore be checked
//! against its view before it is used.

use std::collections::HashMap;
use std::sync::Arc;

use crate::jobs::types::ResourceVector;
use crate::jobs::worker::RunCounts;
use crate::jobs::worker::WorkerView;

/// Resources and runs of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerLoad {
    /// Total resources for runs.
    pub capacity: ResourceVector,
    /// Resources reserved by its runs.
    pub used: ResourceVector,
    /// Number of its runs of each kind.
    pub run_counts: RunCounts,
}

impl From<&WorkerView> for WorkerLoad {
    fn from(view: &WorkerView) -> Self {
        Self {
            capacity: view.entry.capacity,
            used: view.used,
            run_counts: view.run_counts,
        }
    }
}

impl WorkerLoad {
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
    /// Whether its VM is due for maintenance.
    pub maintenance_due: bool,
}

/// The candidates of each pool, by ascending identifier.
#[derive(Clone, Debug, Default)]
pub struct PoolCandidates {
    pools: HashMap<String, Vec<CandidateRow>>,
}

impl PoolCandidates {
    /// Drops all rows.
    pub fn clear(&mut self) {
        self.pools.clear();
    }

    /// Returns the rows of a pool; none if they must be built first.
    #[must_use]
    pub fn rows(&self, pool: &str) -> Option<&[CandidateRow]> {
        self.pools.get(pool).map(Vec::as_slice)
    }

    /// Adds the rows of a pool, which must be sorted by identifier.
    pub fn insert(&mut self, pool: &str, rows: Vec<CandidateRow>) {
        self.pools.insert(pool.to_owned(), rows);
    }

    /// Updates the load in the row of a worker, if there is one.
    pub fn update(&mut self, worker: &str, view: &WorkerView) {
        let Some(rows) = self.pools.get_mut(&view.entry.pool) else {
            return;
        };
        if let Ok(at) = rows.binary_search_by(|row| (*row.worker).cmp(worker)) {
            rows[at].load = view.into();
        }
    }
}
