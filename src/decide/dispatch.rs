//! Admission to a pool's queue and dispatch to its VMs.
//!
//! Each pool has one bounded queue, ordered by class and, within a class, by
//! deadline. Each VM has a number of slots that this entry VM may use. A request
//! is granted a slot at once, waits, or is refused at once if it cannot be
//! started in time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::names::PoolName;
use crate::names::VmName;
use crate::request::RefuseReason;
use crate::request::RequestClass;

/// Identifies a request within one entry VM.
pub type TicketId = u64;

/// Share of a new sample in the moving average of service times.
const SERVICE_TIME_GAIN: f64 = 0.1;
/// Mean service time that is assumed before the first sample.
const FIRST_SERVICE_TIME: Duration = Duration::from_millis(20);
/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A request that asks for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Its identity.
    pub ticket: TicketId,
    /// Pool that is to run it.
    pub pool: PoolName,
    /// Importance.
    pub class: RequestClass,
    /// Time by which it has to be answered.
    pub deadline: Duration,
}

/// What is to be done with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchAction {
    /// Send it to a VM; the slot is taken until [`DispatchState::finish`].
    Grant {
        /// The request.
        ticket: TicketId,
        /// The VM.
        vm: VmName,
        /// Where its backend server listens.
        address: SocketAddr,
    },
    /// Give it its final answer.
    Refuse {
        /// The request.
        ticket: TicketId,
        /// Why.
        reason: RefuseReason,
        /// When the caller should come back.
        retry_after: Duration,
    },
}

/// A VM as the dispatch sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmTarget {
    /// Name.
    pub name: VmName,
    /// Pool that it belongs to.
    pub pool: PoolName,
    /// Where its backend server listens.
    pub address: SocketAddr,
    /// Slots that this entry VM may use.
    pub share: u32,
    /// Whether it gets new work.
    pub takes_work: bool,
}

#[derive(Debug)]
struct VmSlots {
    target: VmTarget,
    in_use: u32,
}

#[derive(Debug)]
struct PoolQueue {
    waiting: BTreeMap<QueueKey, TicketId>,
    limit: usize,
    service_time: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    class: RequestClass,
    deadline: Duration,
    sequence: u64,
}

/// Queues of all pools and slots of all VMs at one entry VM.
#[derive(Debug, Default)]
pub struct DispatchState {
    pools: BTreeMap<PoolName, PoolQueue>,
    vms: BTreeMap<VmName, VmSlots>,
    sequence: u64,
}

impl DispatchState {
    /// Replaces the known pools, each with its queue limit.
    pub fn set_pools<'a>(&mut self, pools: impl IntoIterator<Item = (&'a PoolName, u32)>) {
        let mut known = BTreeMap::new();
        for (name, limit) in pools {
            let old = self.pools.remove(name);
            let mut queue = old.unwrap_or_else(PoolQueue::empty);
            queue.limit = limit as usize;
            known.insert(name.clone(), queue);
        }
        // A removed pool keeps its queue until its requests have been refused.
        let removed = std::mem::take(&mut self.pools);
        known.extend(removed.into_iter().filter_map(|(name, mut queue)| {
            queue.limit = 0;
            (!queue.waiting.is_empty()).then_some((name, queue))
        }));
        self.pools = known;
    }

    /// Replaces the known VMs; slots in use stay counted.
    pub fn set_vms(&mut self, targets: impl IntoIterator<Item = VmTarget>) {
        let mut old = std::mem::take(&mut self.vms);
        for target in targets {
            let in_use = old.remove(&target.name).map_or(0, |slots| slots.in_use);
            let slots = VmSlots { target, in_use };
            self.vms.insert(slots.target.name.clone(), slots);
        }
        old.retain(|_, slots| slots.in_use > 0);
        for (name, mut slots) in old {
            slots.target.takes_work = false;
            self.vms.insert(name, slots);
        }
    }

    /// Returns the requests in progress on a VM.
    #[must_use]
    pub fn in_use(&self, vm: &VmName) -> u32 {
        self.vms.get(vm).map_or(0, |slots| slots.in_use)
    }

    /// Returns the requests in progress by VM; VMs without any are left out.
    #[must_use]
    pub fn all_in_use(&self) -> BTreeMap<VmName, u32> {
        let busy = self.vms.iter().filter(|(_, slots)| slots.in_use > 0);
        busy.map(|(vm, slots)| (vm.clone(), slots.in_use)).collect()
    }

    /// Takes a request in.
    pub fn arrive(&mut self, now: Duration, request: &SlotRequest) -> Vec<DispatchAction> {
        if let Some(refusal) = self.refuse_arrival(now, request) {
            return vec![refusal];
        }
        self.sequence += 1;
        let key = QueueKey {
            class: request.class,
            deadline: request.deadline,
            sequence: self.sequence,
        };
        if let Some(queue) = self.pools.get_mut(&request.pool) {
            queue.waiting.insert(key, request.ticket);
        }
        self.fill(now, &request.pool)
    }

    /// Frees a slot after a request; `service_time` is absent if it was not run.
    pub fn finish(
        &mut self,
        now: Duration,
        vm: &VmName,
        service_time: Option<Duration>,
    ) -> Vec<DispatchAction> {
        let Some(slots) = self.vms.get_mut(vm) else {
            return Vec::new();
        };
        slots.in_use = slots.in_use.saturating_sub(1);
        let pool = slots.target.pool.clone();
        if let (Some(queue), Some(time)) = (self.pools.get_mut(&pool), service_time) {
            queue.service_time = queue.service_time.mul_f64(1.0 - SERVICE_TIME_GAIN)
                + time.mul_f64(SERVICE_TIME_GAIN);
        }
        self.fill(now, &pool)
    }

    /// Forgets a waiting request whose caller has gone.
    pub fn cancel(&mut self, pool: &PoolName, ticket: TicketId) {
        if let Some(queue) = self.pools.get_mut(pool) {
            queue.waiting.retain(|_, waiting| *waiting != ticket);
        }
    }

    /// Refuses waiting requests that can no longer be met and fills free slots.
    pub fn tick(&mut self, now: Duration) -> Vec<DispatchAction> {
        let pools: Vec<_> = self.pools.keys().cloned().collect();
        let actions = pools.iter().flat_map(|pool| self.fill(now, pool));
        actions.collect()
    }

    fn refuse_arrival(&self, now: Duration, request: &SlotRequest) -> Option<DispatchAction> {
        let ticket = request.ticket;
        let refuse = |reason, retry_after| {
            Some(DispatchAction::Refuse {
                ticket,
                reason,
                retry_after,
            })
        };
        let Some(queue) = self.pools.get(&request.pool) else {
            return refuse(RefuseReason::UnknownPool, Duration::ZERO);
        };
        if request.deadline <= now {
            return refuse(RefuseReason::DeadlinePassed, Duration::ZERO);
        }
        let slots = self.serving_slots(&request.pool);
        if slots == 0 {
            return refuse(RefuseReason::NoBackend, queue.service_time * 10);
        }
        let wait = queue.wait_of(request, slots);
        if queue.waiting.len() >= queue.limit {
            return refuse(RefuseReason::QueueFull, wait.max(MIN_RETRY_AFTER));
        }
        if now + wait + queue.service_time > request.deadline {
            return refuse(RefuseReason::Overload, wait.max(MIN_RETRY_AFTER));
        }
        None
    }

    fn serving_slots(&self, pool: &PoolName) -> u32 {
        let targets = self.vms.values().map(|slots| &slots.target);
        let serving = targets.filter(|target| target.pool == *pool && target.takes_work);
        serving.map(|target| target.share).sum()
    }

    /// Returns the VM of the pool with the smallest share of its slots in use.
    fn freest_vm(&mut self, pool: &PoolName) -> Option<&mut VmSlots> {
        let vms = self.vms.values_mut();
        let free = vms.filter(|slots| {
            slots.target.pool == *pool
                && slots.target.takes_work
                && slots.in_use < slots.target.share
        });
        free.min_by_key(|slots| (slots.in_use * 1000) / slots.target.share)
    }

    fn fill(&mut self, now: Duration, pool: &PoolName) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        while let Some(queue) = self.pools.get_mut(pool) {
            let Some((key, ticket)) = queue.waiting.first_key_value() else {
                break;
            };
            let (key, ticket) = (*key, *ticket);
            if now + queue.service_time > key.deadline {
                queue.waiting.remove(&key);
                actions.push(DispatchAction::Refuse {
                    ticket,
                    reason: RefuseReason::DeadlinePassed,
                    retry_after: MIN_RETRY_AFTER,
                });
                continue;
            }
            let Some(slots) = self.freest_vm(pool) else {
                break;
            };
            slots.in_use += 1;
            actions.push(DispatchAction::Grant {
                ticket,
                vm: slots.target.name.clone(),
                address: slots.target.address,
            });
            if let Some(queue) = self.pools.get_mut(pool) {
                queue.waiting.remove(&key);
            }
        }
        actions
    }
}

impl PoolQueue {
    fn empty() -> Self {
        Self {
            waiting: BTreeMap::new(),
            limit: 0,
            service_time: FIRST_SERVICE_TIME,
        }
    }

    /// Estimates how long a request would wait behind those that go before it.
    fn wait_of(&self, request: &SlotRequest, slots: u32) -> Duration {
        let key = QueueKey {
            class: request.class,
            deadline: request.deadline,
            sequence: u64::MAX,
        };
        let before = self.waiting.range(..=key).count() as u32;
        self.service_time * before / slots.max(1)
    }
}
