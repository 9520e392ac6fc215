//! Lanes of client accounts among the waiting jobs of a pool.

use std::collections::BTreeSet;
use std::ops::Bound;

use crate::jobs::account::AccountName;
use crate::jobs::lanes::TryOutcome;
use crate::jobs::share::JobLane;
use crate::jobs::share::SharePosition;
use crate::jobs::types::JobId;
use crate::jobs::types::ResourceVector;
use crate::jobs::waiting::WaitingJobs;

impl WaitingJobs {
    /// Begins a pass over the lanes of a pool's accounts.
    pub fn begin_pass(&mut self, pool: &str) {
        if let Some(order) = self.pools.get_mut(pool) {
            order.pass += 1;
        }
    }

    /// Returns the lanes of a pool whose share must be computed; none is left afterwards.
    pub fn take_outdated(&mut self, pool: &str) -> BTreeSet<JobLane> {
        let order = self.pools.get_mut(pool);
        order.map_or_else(BTreeSet::new, |order| std::mem::take(&mut order.outdated))
    }

    /// Returns the lane of a pool in which jobs wait if there is only one, of an account.
    #[must_use]
    pub fn only_lane(&self, pool: &str) -> Option<JobLane> {
        let lanes = &self.pools.get(pool)?.lanes;
        let mut waiting = lanes.keys().filter(|lane| **lane != JobLane::Common);
        let first = waiting.next()?;
        waiting.next().is_none().then(|| first.clone())
    }

    /// Makes the next pass compute the shares of an account in a pool; without a pool, of all
    /// accounts in all pools.
    pub fn mark_shares(&mut self, pool: Option<&str>, account: Option<&AccountName>) {
        let Some(pool) = pool else {
            for order in self.pools.values_mut() {
                let lanes = order.lanes.keys().filter(|lane| **lane != JobLane::Common);
                order.outdated.extend(lanes.cloned());
            }
            return;
        };
        let Some(order) = self.pools.get_mut(pool) else {
            return;
        };
        for lane in JobLane::of_account(account) {
            if order.lanes.contains_key(&lane) {
                order.outdated.insert(lane);
            }
        }
    }

    /// Sets the position of a lane among the lanes of its pool, if it has waiting jobs.
    pub fn set_share(&mut self, pool: &str, lane: &JobLane, position: SharePosition) {
        if let Some(order) = self.pools.get_mut(pool)
            && order.lanes.contains_key(lane)
        {
            order.shares.set(lane, position);
        }
    }

    /// Returns the next lane of a pool in the order of shares.
    #[must_use]
    pub fn next_lane(
        &self,
        pool: &str,
        after: Option<&(SharePosition, JobLane)>,
    ) -> Option<(SharePosition, JobLane)> {
        self.pools.get(pool)?.shares.next(after)
    }

    /// Returns the account lane of a pool that follows another one by name, the first one
    /// after the last.
    #[must_use]
    pub fn following_lane(&self, pool: &str, lane: &JobLane) -> Option<JobLane> {
        let lanes = &self.pools.get(pool)?.lanes;
        let after = |lane: &JobLane| {
            let mut range = lanes.range((Bound::Excluded(lane), Bound::Unbounded));
            range.next().map(|(lane, _)| lane.clone())
        };
        after(lane).or_else(|| after(&JobLane::Common))
    }

    /// Returns the lane after which a pass continues that has run out of tries.
    #[must_use]
    pub fn rotation(&self, pool: &str) -> JobLane {
        let order = self.pools.get(pool);
        let rotation = order.and_then(|order| order.rotation.clone());
        rotation.unwrap_or_default()
    }

    /// Sets the lane after which the next pass continues.
    pub fn set_rotation(&mut self, pool: &str, lane: JobLane) {
        if let Some(order) = self.pools.get_mut(pool) {
            order.rotation = Some(lane);
        }
    }

    /// Returns whether jobs of accounts wait in a pool.
    #[must_use]
    pub fn has_accounts(&self, pool: &str) -> bool {
        let order = self.pools.get(pool);
        let last = order.and_then(|order| order.lanes.last_key_value());
        last.is_some_and(|(lane, _)| *lane != JobLane::Common)
    }

    /// Returns whether a lane of a pool has waiting jobs.
    #[must_use]
    pub fn has_lane(&self, pool: &str, lane: &JobLane) -> bool {
        let order = self.pools.get(pool);
        order.is_some_and(|order| order.lanes.contains_key(lane))
    }

    /// Returns the number of lanes of a pool, including the common one.
    #[must_use]
    pub fn lanes(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, |order| order.lanes.len())
    }

    /// Returns a lower bound of what a task of a lane needs; without a lane, of what a task
    /// of any account in the pool needs.
    #[must_use]
    pub fn least_need(&self, pool: &str, lane: Option<&JobLane>) -> Option<ResourceVector> {
        let order = self.pools.get(pool)?;
        match lane {
            Some(lane) => order.lanes.get(lane)?.least_need,
            None => order.least_need,
        }
    }

    /// Returns the next job of a lane that the current pass should try; none once it should
    /// leave the lane.
    pub fn next_try(&mut self, pool: &str, lane: &JobLane) -> Option<JobId> {
        self.pools.get_mut(pool)?.next_try(lane)
    }

    /// Records the result of the last try in a lane.
    pub fn record_try(&mut self, pool: &str, lane: &JobLane, outcome: TryOutcome) {
        if let Some(order) = self.pools.get_mut(pool) {
            order.record_try(lane, outcome);
        }
    }
}
