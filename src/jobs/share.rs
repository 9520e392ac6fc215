//! Order of client accounts in a pool: weighted max-min over the dominant resource.
//!
//! The account whose running work is the smallest part of the pool relative to its weight
//! comes first. Only what runs now counts, so an account that was idle has no credit. Jobs
//! beyond the rate of their account come after all others.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::ops::Bound;

use crate::jobs::account::AccountConfig;
use crate::jobs::account::AccountName;
use crate::jobs::types::ResourceVector;

/// Jobs of a pool that are placed in one order among themselves.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum JobLane {
    /// Jobs that come before all shares: long-running ones, or all jobs if the configuration
    /// has no accounts.
    #[default]
    Common,
    /// Jobs of an account within its rate; without an account, all jobs that have none.
    Account(Option<AccountName>),
    /// Jobs of an account beyond its rate.
    BeyondRate(AccountName),
}

impl JobLane {
    /// Returns the lanes of an account.
    #[must_use]
    pub fn of_account(account: Option<&AccountName>) -> Vec<Self> {
        let beyond_rate = account.map(|account| Self::BeyondRate(account.clone()));
        let mut lanes = vec![Self::Account(account.cloned())];
        lanes.extend(beyond_rate);
        lanes
    }

    /// Returns the account of the lane's jobs.
    #[must_use]
    pub fn account(&self) -> Option<&AccountName> {
        match self {
            Self::Common => None,
            Self::Account(account) => account.as_ref(),
            Self::BeyondRate(account) => Some(account),
        }
    }

    /// Returns the lane's position for a weighted share.
    #[must_use]
    pub fn position(&self, share: f64) -> SharePosition {
        SharePosition {
            beyond_rate: matches!(self, Self::BeyondRate(_)),
            share,
        }
    }
}

/// Position of a lane in its pool; the lowest is served first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharePosition {
    /// Whether the jobs are beyond the rate of their account.
    pub beyond_rate: bool,
    /// Weighted share of the account; see [`weighted_share`].
    pub share: f64,
}

impl Eq for SharePosition {}

impl Ord for SharePosition {
    fn cmp(&self, other: &Self) -> Ordering {
        let tiers = self.beyond_rate.cmp(&other.beyond_rate);
        tiers.then(self.share.total_cmp(&other.share))
    }
}

impl PartialOrd for SharePosition {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Returns the part of a pool's capacity that an account uses, of CPU or memory whichever is
/// larger, divided by its weight.
#[must_use]
pub fn weighted_share(usage: &ResourceVector, capacity: &ResourceVector, weight: f64) -> f64 {
    let part = |used: u64, all: u64| used as f64 / all.max(1) as f64;
    let cpu = part(usage.cpu, capacity.cpu);
    let memory = part(usage.memory_mb, capacity.memory_mb);
    cpu.max(memory) / weight.max(f64::MIN_POSITIVE)
}

/// Returns the mean weight of accounts, 1 if there are none. It is the weight of the jobs
/// that have no account, taken together.
#[must_use]
pub fn mean_weight(accounts: &[AccountConfig]) -> f64 {
    if accounts.is_empty() {
        return 1.0;
    }
    let sum: f64 = accounts.iter().map(|account| account.weight).sum();
    sum / accounts.len() as f64
}

/// The lanes of a pool by position.
#[derive(Clone, Debug, Default)]
pub struct ShareOrder {
    order: BTreeSet<(SharePosition, JobLane)>,
    positions: HashMap<JobLane, SharePosition>,
}

impl ShareOrder {
    /// Sets the position of a lane.
    pub fn set(&mut self, lane: &JobLane, position: SharePosition) {
        match self.positions.get_mut(lane) {
            Some(before) if *before == position => return,
            Some(before) => {
                let before = std::mem::replace(before, position);
                self.order.remove(&(before, lane.clone()));
            }
            None => {
                self.positions.insert(lane.clone(), position);
            }
        }
        self.order.insert((position, lane.clone()));
    }

    /// Removes a lane.
    pub fn remove(&mut self, lane: &JobLane) {
        if let Some(position) = self.positions.remove(lane) {
            self.order.remove(&(position, lane.clone()));
        }
    }

    /// Returns the next lane after a position; without one, the first.
    #[must_use]
    pub fn next(
        &self,
        after: Option<&(SharePosition, JobLane)>,
    ) -> Option<(SharePosition, JobLane)> {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        self.order.range((start, Bound::Unbounded)).next().cloned()
    }
}
