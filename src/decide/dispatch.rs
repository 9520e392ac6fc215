//! Admission to a pool's queue and dispatch to its VMs.
//!
//! Each pool has one bounded queue, and each VM has a number of slots that this
//! entry VM may use. On arrival a request gets a slot, waits in the queue or is
//! refused, for instance if it is not expected to finish before its deadline. Each
//! pool keeps its VMs with free slots sorted by load, so that no decision scans all
//! VMs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::decide::queue::PoolQueue;
use crate::names::PoolName;
use crate::names::VmName;
use crate::request::RefuseReason;
use crate::request::RequestClass;

/// Identifies a request within one entry VM; later requests have larger ids.
pub type TicketId = u64;

/// Resolution of a VM's load, the fraction of its slots that is in use.
const LOAD_STEPS: u32 = 1000;

/// A request that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Identifies the request in the actions.
    pub ticket: TicketId,
    /// Pool whose VMs can run it.
    pub pool: PoolName,
    /// Importance; it decides the order in the queue.
    pub class: RequestClass,
    /// Time by which the caller needs the answer, since the start of the process.
    pub deadline: Duration,
    /// VM of the previous, failed send; used only if no other VM has a free slot.
    pub avoid: Option<VmName>,
    /// Whether another entry VM forwarded it; such a request is refused rather than
    /// queued for longer than one mean service time.
    pub forwarded: bool,
}

/// A decision about a request, for the caller of [`DispatchState`] to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchAction {
    /// Send the request to a VM; the slot is in use until [`DispatchState::finish`].
    Grant {
        /// Request that got the slot.
        ticket: TicketId,
        /// VM on which it got the slot.
        vm: VmName,
        /// Address of the VM's backend server.
        address: SocketAddr,
    },
    /// Answer the request as not run; it is no longer queued.
    Refuse {
        /// Request that is refused.
        ticket: TicketId,
        /// Reason given to the caller.
        reason: RefuseReason,
        /// Time from now after which the caller should retry.
        retry_after: Duration,
    },
}

/// A VM to which requests are dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmTarget {
    /// Name of the VM; its slots in use are counted by name.
    pub name: VmName,
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Address of its backend server.
    pub address: SocketAddr,
    /// Number of its slots that this entry VM may use.
    pub share: u32,
    /// Whether it gets new requests.
    pub schedulable: bool,
}

#[derive(Debug)]
struct VmSlots {
    target: VmTarget,
    in_use: u32,
    /// Sequence number of the last grant; VMs of equal load take turns by it.
    last_grant: u64,
}

/// Sort key of a VM with a free slot; the smallest one is chosen first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FreeKey {
    load: u32,
    last_grant: u64,
    vm: VmName,
}

impl VmSlots {
    fn free_key(&self) -> Option<FreeKey> {
        let free = self.target.schedulable && self.in_use < self.target.share;
        free.then(|| FreeKey {
            load: self.in_use * LOAD_STEPS / self.target.share,
            last_grant: self.last_grant,
            vm: self.target.name.clone(),
        })
    }
}

/// Queue and VMs of one pool.
#[derive(Debug, Default)]
struct PoolState {
    queue: PoolQueue,
    /// Slots of its schedulable VMs, free or in use.
    slots: u32,
    /// Schedulable VMs with a free slot.
    free: BTreeSet<FreeKey>,
}

/// Queues of all pools and slots of all VMs at one entry VM.
#[derive(Debug, Default)]
pub struct DispatchState {
    pools: BTreeMap<PoolName, PoolState>,
    vms: BTreeMap<VmName, VmSlots>,
    grants: u64,
}

impl DispatchState {
    /// Replaces the configured pools, each with its queue limit in requests.
    ///
    /// Refuses the requests that wait for a removed pool.
    pub fn set_pools<'a>(
        &mut self,
        pools: impl IntoIterator<Item = (&'a PoolName, u32)>,
    ) -> Vec<DispatchAction> {
        let mut known = BTreeMap::new();
        for (name, limit) in pools {
            let mut pool = self.pools.remove(name).unwrap_or_default();
            pool.queue.limit = limit as usize;
            known.insert(name.clone(), pool);
        }
        let removed = std::mem::replace(&mut self.pools, known);
        self.index_vms();
        let mut actions = Vec::new();
        for mut pool in removed.into_values() {
            actions.extend(pool.refuse_all(RefuseReason::UnknownPool, Duration::ZERO));
        }
        actions
    }

    /// Replaces the known VMs, then refuses and grants as [`tick`](Self::tick) does.
    ///
    /// Slots in use stay counted; a removed VM is kept as not schedulable while it
    /// has requests in progress.
    pub fn set_vms(
        &mut self,
        now: Duration,
        targets: impl IntoIterator<Item = VmTarget>,
    ) -> Vec<DispatchAction> {
        let mut old = std::mem::take(&mut self.vms);
        for target in targets {
            let old = old.remove(&target.name);
            let slots = VmSlots {
                in_use: old.as_ref().map_or(0, |old| old.in_use),
                last_grant: old.as_ref().map_or(0, |old| old.last_grant),
                target,
            };
            self.vms.insert(slots.target.name.clone(), slots);
        }
        old.retain(|_, slots| slots.in_use > 0);
        for (name, mut slots) in old {
            slots.target.schedulable = false;
            self.vms.insert(name, slots);
        }
        self.index_vms();
        self.tick(now)
    }

    /// Returns the number of this entry VM's requests in progress on a VM.
    #[must_use]
    pub fn in_use(&self, vm: &VmName) -> u32 {
        self.vms.get(vm).map_or(0, |slots| slots.in_use)
    }

    /// Returns the number of requests in progress by VM, without idle VMs.
    #[must_use]
    pub fn in_use_by_vm(&self) -> BTreeMap<VmName, u32> {
        let busy = self.vms.iter().filter(|(_, slots)| slots.in_use > 0);
        busy.map(|(vm, slots)| (vm.clone(), slots.in_use)).collect()
    }

    /// Returns the number of requests that wait in a pool's queue.
    #[must_use]
    pub fn queue_len(&self, pool: &PoolName) -> usize {
        self.pools.get(pool).map_or(0, |pool| pool.queue.len())
    }

    /// Grants the request a slot, queues it or refuses it.
    ///
    /// Another request of a lower class may be refused in its place.
    pub fn submit(&mut self, now: Duration, request: SlotRequest) -> Vec<DispatchAction> {
        let ticket = request.ticket;
        let refuse = |reason| {
            vec![DispatchAction::Refuse {
                ticket,
                reason,
                retry_after: Duration::ZERO,
            }]
        };
        let Some(pool) = self.pools.get_mut(&request.pool) else {
            return refuse(RefuseReason::UnknownPool);
        };
        if request.deadline <= now {
            return refuse(RefuseReason::DeadlinePassed);
        }
        let name = request.pool.clone();
        let mut actions = pool.admit(now, request);
        actions.extend(self.grant_waiting(&name));
        actions
    }

    /// Frees a VM's slot after a request and grants it to the next one.
    ///
    /// `service_time` is `None` if the request did not run.
    pub fn finish(
        &mut self,
        now: Duration,
        vm: &VmName,
        service_time: Option<Duration>,
    ) -> Vec<DispatchAction> {
        let Some(slots) = self.vms.get_mut(vm) else {
            return Vec::new();
        };
        let old_key = slots.free_key();
        slots.in_use = slots.in_use.saturating_sub(1);
        let new_key = slots.free_key();
        let name = slots.target.pool.clone();
        if let Some(pool) = self.pools.get_mut(&name) {
            pool.replace_key(old_key.as_ref(), new_key);
            if let Some(time) = service_time {
                pool.queue.service.add_sample(time);
            }
        }
        self.serve_queue(now, &name)
    }

    /// Removes a request from the queue; returns whether it was waiting.
    ///
    /// For callers that have disconnected or have been answered.
    pub fn cancel(&mut self, request: &SlotRequest) -> bool {
        let pool = self.pools.get_mut(&request.pool);
        pool.is_some_and(|pool| pool.queue.remove(request))
    }

    /// Refuses waiting requests that can no longer meet their deadline and grants
    /// free slots.
    pub fn tick(&mut self, now: Duration) -> Vec<DispatchAction> {
        let waiting = self.pools.iter();
        let waiting = waiting.filter(|(_, pool)| !pool.queue.is_empty());
        let pools: Vec<_> = waiting.map(|(name, _)| name.clone()).collect();
        let actions = pools.iter().flat_map(|pool| self.serve_queue(now, pool));
        actions.collect()
    }

    /// Refuses all waiting requests, each with the same reason and retry time.
    pub fn refuse_all(
        &mut self,
        reason: RefuseReason,
        retry_after: Duration,
    ) -> Vec<DispatchAction> {
        let pools = self.pools.values_mut();
        let actions = pools.flat_map(|pool| pool.refuse_all(reason, retry_after));
        actions.collect()
    }

    /// Recomputes the slots and free VMs of each pool from the VMs.
    fn index_vms(&mut self) {
        for pool in self.pools.values_mut() {
            pool.slots = 0;
            pool.free.clear();
        }
        for slots in self.vms.values() {
            let target = &slots.target;
            if let Some(pool) = self.pools.get_mut(&target.pool) {
                pool.slots += u32::from(target.schedulable) * target.share;
                pool.free.extend(slots.free_key());
            }
        }
    }

    fn serve_queue(&mut self, now: Duration, name: &PoolName) -> Vec<DispatchAction> {
        let Some(pool) = self.pools.get_mut(name) else {
            return Vec::new();
        };
        let mut actions = pool.refuse_expired(now);
        actions.extend(self.grant_waiting(name));
        actions
    }

    fn grant_waiting(&mut self, name: &PoolName) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        let Some(pool) = self.pools.get_mut(name) else {
            return actions;
        };
        while !pool.free.is_empty() {
            let Some(request) = pool.queue.pop() else {
                break;
            };
            let Some(key) = pool.choose_vm(request.avoid.as_ref()) else {
                break;
            };
            let Some(slots) = self.vms.get_mut(&key.vm) else {
                break;
            };
            self.grants += 1;
            slots.in_use += 1;
            slots.last_grant = self.grants;
            pool.replace_key(Some(&key), slots.free_key());
            actions.push(DispatchAction::Grant {
                ticket: request.ticket,
                vm: key.vm,
                address: slots.target.address,
            });
        }
        actions
    }
}

impl PoolState {
    /// Queues a request or refuses it; if the queue is full, a request of a lower
    /// class is refused in its place.
    fn admit(&mut self, now: Duration, request: SlotRequest) -> Vec<DispatchAction> {
        let mean = self.queue.service.mean();
        if self.slots == 0 {
            return vec![self.refuse(now, &request, RefuseReason::NoBackend, mean)];
        }
        let mut actions = Vec::new();
        // A request is always admitted while a slot is free. Otherwise an estimate of
        // the service time that is too high would refuse all requests and never be
        // corrected by a new sample.
        if self.free.is_empty() {
            let wait = self.queue.estimate_wait(&request, self.slots);
            let late = now + wait + self.queue.service.upper_bound() > request.deadline;
            let standing = self.queue.is_standing(now, self.slots);
            let lengthens = (standing || request.forwarded) && wait > mean;
            if late || lengthens {
                return vec![self.refuse(now, &request, RefuseReason::Overload, wait)];
            }
            if self.queue.len() >= self.queue.limit {
                let victim = self.queue.pop_lower_class(request.class);
                let Some(victim) = victim else {
                    return vec![self.refuse(now, &request, RefuseReason::QueueFull, wait)];
                };
                actions.push(self.refuse(now, &victim, RefuseReason::QueueFull, wait));
            }
        }
        self.queue.push(request);
        actions
    }

    /// Refuses waiting requests that can no longer meet their deadline, or all of
    /// them if the pool has no slots.
    fn refuse_expired(&mut self, now: Duration) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        let wait = self.queue.service.mean();
        while let Some(request) = self.queue.pop_expired(now) {
            actions.push(self.refuse(now, &request, RefuseReason::DeadlinePassed, wait));
        }
        while self.slots == 0
            && let Some(request) = self.queue.pop_any()
        {
            actions.push(self.refuse(now, &request, RefuseReason::NoBackend, wait));
        }
        actions
    }

    fn refuse(
        &mut self,
        now: Duration,
        request: &SlotRequest,
        reason: RefuseReason,
        wait: Duration,
    ) -> DispatchAction {
        DispatchAction::Refuse {
            ticket: request.ticket,
            reason,
            retry_after: self.queue.schedule_retry(now, wait, self.slots),
        }
    }

    fn refuse_all(&mut self, reason: RefuseReason, retry_after: Duration) -> Vec<DispatchAction> {
        let requests = std::iter::from_fn(|| self.queue.pop_any());
        let actions = requests.map(|request| DispatchAction::Refuse {
            ticket: request.ticket,
            reason,
            retry_after,
        });
        actions.collect()
    }

    /// Returns the least loaded VM with a free slot, `avoid` only if no other has one.
    fn choose_vm(&self, avoid: Option<&VmName>) -> Option<FreeKey> {
        let mut others = self.free.iter().filter(|key| Some(&key.vm) != avoid);
        others.next().or_else(|| self.free.first()).cloned()
    }

    fn replace_key(&mut self, old_key: Option<&FreeKey>, new_key: Option<FreeKey>) {
        if let Some(key) = old_key {
            self.free.remove(key);
        }
        self.free.extend(new_key);
    }
}
