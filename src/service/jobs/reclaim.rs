//! Restoring the owner's key: it is attached to a lease and is removed when that ends,
//! although the owner may still run.

use crate::ports::store::LeaseId;
use crate::service::jobs::messages::MemberView;
use crate::service::jobs::shard::ShardOwner;

impl ShardOwner {
    /// Requests a check of the lease if the owner's key was removed; marks this owner as
    /// deposed if there is a later one.
    pub(super) fn check_owner(&mut self, members: &MemberView, lease: LeaseId) {
        let (owner, former) = {
            let state = members.borrow();
            (state.owner.clone(), state.former_owner.clone())
        };
        let epoch = self.engine.epoch;
        if owner.as_ref().is_some_and(|(owner, _)| owner.epoch > epoch) {
            self.engine.deposed = true;
        }
        let removed = owner.is_none() && former.is_some_and(|former| former.epoch == epoch);
        if removed && self.reclaim.is_none() && self.reclaiming.is_none() {
            log::warn!(event = "owner_key_removed", epoch = epoch, lease = lease; "");
            self.check_lease.notify_one();
        }
    }

    /// Restores the owner's key under a lease with the next commit. Does nothing if a commit
    /// does that already, or has done it: another one would find the key and fail.
    pub(super) fn restore_key(&mut self, lease: LeaseId, valid_until_ms: u64) {
        let epoch = self.engine.epoch;
        let members = self.context.members.borrow();
        let owner = members.owner.as_ref();
        let is_present = owner.is_some_and(|(owner, _)| owner.epoch == epoch)
            && self.executor.validity.lease() == lease;
        if is_present || self.reclaiming.is_some_and(|(current, _)| current == lease) {
            log::info!(event = "owner_key_present", epoch = epoch, lease = lease; "");
            return;
        }
        self.reclaim = Some((lease, valid_until_ms));
    }
}
