//! Resources in use by client account, and the check against the account's limit.
//!
//! A run counts from its reservation, before its placement is stored, until it is certainly
//! over. So starts without an answer, runs that are being stopped and runs at unresponsive
//! workers count, and so do the runs of a former owner.

use std::collections::HashMap;

use crate::jobs::account::AccountName;
use crate::jobs::types::ResourceVector;
use crate::jobs::types::TaskId;

/// Maximum amount of a resource that a run counts with. Fillers may request any CPU, as they
/// reserve none; the sums of a million runs must not overflow.
const MAX_COUNTED: u64 = 1 << 44;

/// What a run occupies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunUsage {
    /// Client account of its job.
    pub account: Option<AccountName>,
    /// Pool of its job.
    pub pool: String,
    /// Resources that its task needs.
    pub need: ResourceVector,
}

/// Identifies a run: task, worker and number.
type RunKey = (TaskId, String, u32);

/// Resources in use by account and by pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AccountLedger {
    /// Runs that may be alive.
    runs: HashMap<RunKey, RunUsage>,
    by_account: HashMap<AccountName, ResourceVector>,
    /// Usage in each pool; without an account, that of all runs that have none.
    by_pool: HashMap<String, HashMap<Option<AccountName>, ResourceVector>>,
}

impl AccountLedger {
    /// Adds a run; does nothing if it is known.
    pub fn begin(&mut self, task: &TaskId, worker: &str, run: u32, usage: RunUsage) {
        let key = (task.clone(), worker.to_owned(), run);
        if self.runs.contains_key(&key) {
            return;
        }
        let need = ResourceVector {
            cpu: usage.need.cpu.min(MAX_COUNTED),
            memory_mb: usage.need.memory_mb.min(MAX_COUNTED),
            gpu: usage.need.gpu.min(MAX_COUNTED),
        };
        if let Some(account) = &usage.account {
            let sum = self.by_account.entry(account.clone()).or_default();
            sum.add(&need);
        }
        let in_pool = self.by_pool.entry(usage.pool.clone()).or_default();
        in_pool.entry(usage.account.clone()).or_default().add(&need);
        self.runs.insert(key, RunUsage { need, ..usage });
    }

    /// Removes a run that is certainly over and returns what it occupied; none if it is
    /// unknown.
    pub fn end(&mut self, task: &TaskId, worker: &str, run: u32) -> Option<RunUsage> {
        if self.runs.is_empty() {
            return None;
        }
        let usage = self.runs.remove(&(task.clone(), worker.to_owned(), run))?;
        if let Some(account) = &usage.account
            && let Some(sum) = self.by_account.get_mut(account)
        {
            *sum = sum.saturating_sub(&usage.need);
            if *sum == ResourceVector::default() {
                self.by_account.remove(account);
            }
        }
        if let Some(in_pool) = self.by_pool.get_mut(&usage.pool) {
            if let Some(sum) = in_pool.get_mut(&usage.account) {
                *sum = sum.saturating_sub(&usage.need);
                if *sum == ResourceVector::default() {
                    in_pool.remove(&usage.account);
                }
            }
            if in_pool.is_empty() {
                self.by_pool.remove(&usage.pool);
            }
        }
        Some(usage)
    }

    /// Returns what the runs of an account use at all workers together.
    #[must_use]
    pub fn usage(&self, account: &str) -> ResourceVector {
        self.by_account.get(account).copied().unwrap_or_default()
    }

    /// Returns the usage of every account with runs.
    pub fn accounts(&self) -> impl Iterator<Item = (&AccountName, &ResourceVector)> {
        self.by_account.iter()
    }

    /// Returns what the runs of an account use in a pool; without an account, those of jobs
    /// that have none.
    #[must_use]
    pub fn pool_usage(&self, pool: &str, account: Option<&AccountName>) -> ResourceVector {
        let in_pool = self.by_pool.get(pool);
        let sum = in_pool.and_then(|in_pool| in_pool.get(&account.cloned()));
        sum.copied().unwrap_or_default()
    }
}

/// Returns whether a task may start beside the usage of its account.
///
/// A task that is wider than what is left of the limit may start while at most half of the
/// limit is used: it would never start otherwise if other tasks keep the account busy.
#[must_use]
pub fn allows_task(limit: &ResourceVector, usage: &ResourceVector, need: &ResourceVector) -> bool {
    let allows = |limit: u64, usage: u64, need: u64| {
        limit == 0 || need == 0 || usage.saturating_add(need) <= limit || usage <= limit / 2
    };
    allows(limit.cpu, usage.cpu, need.cpu)
        && allows(limit.memory_mb, usage.memory_mb, need.memory_mb)
        && allows(limit.gpu, usage.gpu, need.gpu)
}

/// Returns whether resources fit into what is left of a limit.
#[must_use]
pub fn fits_limit(limit: &ResourceVector, usage: &ResourceVector, need: &ResourceVector) -> bool {
    let fits = |limit: u64, usage: u64, need: u64| {
        limit == 0 || need == 0 || usage.saturating_add(need) <= limit
    };
    fits(limit.cpu, usage.cpu, need.cpu)
        && fits(limit.memory_mb, usage.memory_mb, need.memory_mb)
        && fits(limit.gpu, usage.gpu, need.gpu)
}
