//! Dispatch: random histories checked against a model, and cases of admission.
//!
//! Guards against grants beyond a VM's share or after a deadline, and against requests
//! that wait although a slot is free.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use chicorygauge::decide::dispatch::DispatchAction;
use chicorygauge::decide::dispatch::DispatchState;
use chicorygauge::decide::dispatch::SlotRequest;
use chicorygauge::decide::dispatch::TicketId;
use chicorygauge::decide::dispatch::VmTarget;
use chicorygauge::decide::queue::MAX_RETRY_AFTER;
use chicorygauge::decide::queue::MAX_SKIPS;
use chicorygauge::decide::queue::MIN_RETRY_AFTER;
use chicorygauge::decide::slots::equal_share;
use chicorygauge::names::PoolName;
use chicorygauge::names::VmName;
use chicorygauge::request::RefuseReason;
use chicorygauge::request::RequestClass;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const QUEUE_LIMIT: u32 = 6;
const POOLS: usize = 2;
const VMS: usize = 4;

fn pool_name(index: usize) -> PoolName {
    PoolName::new(&format!("pool-{index}")).expect("name")
}

fn vm_name(index: usize) -> VmName {
    VmName::new(&format!("vm-{index}")).expect("name")
}

fn target(vm: usize, pool: usize, share: u32, schedulable: bool) -> VmTarget {
    VmTarget {
        name: vm_name(vm),
        pool: pool_name(pool),
        address: SocketAddr::from(([127, 0, 0, 1], 1000 + vm as u16)),
        share,
        schedulable,
    }
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn request(ticket: TicketId, class: RequestClass, deadline_ms: u64) -> SlotRequest {
    SlotRequest {
        ticket,
        pool: pool_name(0),
        class,
        deadline: ms(deadline_ms),
        avoid: None,
        forwarded: false,
    }
}

/// One step of a random history.
#[derive(Clone, Debug)]
enum HistoryStep {
    Submit {
        pool: usize,
        class: RequestClass,
        remaining_ms: u64,
        avoid: Option<usize>,
    },
    /// Finishes the running request at `index`, taken modulo their number.
    Finish {
        index: usize,
        service_ms: u64,
    },
    /// Cancels the waiting request at `index`, if there is one.
    Cancel {
        index: usize,
    },
    SetVm {
        vm: usize,
        pool: usize,
        share: u32,
        schedulable: bool,
    },
    SetPools {
        count: usize,
    },
    Tick {
        millis: u64,
    },
}

fn step() -> impl Strategy<Value = HistoryStep> {
    let class = prop::sample::select(RequestClass::ALL.to_vec());
    prop_oneof![
        8 => (0..POOLS, class, 0u64..400, prop::option::of(0..VMS)).prop_map(
            |(pool, class, remaining_ms, avoid)| HistoryStep::Submit { pool, class, remaining_ms, avoid }
        ),
        5 => (0usize..32, 1u64..60).prop_map(
            |(index, service_ms)| HistoryStep::Finish { index, service_ms }
        ),
        1 => (0usize..32).prop_map(|index| HistoryStep::Cancel { index }),
        1 => (0..VMS, 0..POOLS, 0u32..4, any::<bool>()).prop_map(
            |(vm, pool, share, schedulable)| HistoryStep::SetVm { vm, pool, share, schedulable }
        ),
        1 => (1..=POOLS).prop_map(|count| HistoryStep::SetPools { count }),
        3 => (0u64..50).prop_map(|millis| HistoryStep::Tick { millis }),
    ]
}

/// Expected state of the dispatcher after the actions so far.
#[derive(Default)]
struct Model {
    now: Duration,
    next: TicketId,
    targets: BTreeMap<usize, VmTarget>,
    waiting: BTreeMap<TicketId, SlotRequest>,
    running: Vec<(TicketId, VmName)>,
    decided: BTreeSet<TicketId>,
}

impl Model {
    fn apply(&mut self, actions: Vec<DispatchAction>) {
        for action in actions {
            let ticket = match &action {
                DispatchAction::Grant { ticket, .. } | DispatchAction::Refuse { ticket, .. } => {
                    *ticket
                }
            };
            let request = self.waiting.remove(&ticket);
            let request = request.expect("decision on a request that is not waiting");
            assert!(self.decided.insert(ticket));
            match action {
                DispatchAction::Grant { vm, address, .. } => self.grant(&request, vm, address),
                DispatchAction::Refuse { retry_after, .. } => {
                    assert!(retry_after <= MAX_RETRY_AFTER);
                }
            }
        }
    }

    fn grant(&mut self, request: &SlotRequest, vm: VmName, address: SocketAddr) {
        let target = self.targets.values().find(|target| target.name == vm);
        let target = target.expect("a known VM");
        assert!(target.schedulable);
        assert_eq!((&target.pool, target.address), (&request.pool, address));
        assert!(request.deadline > self.now, "granted after the deadline");
        let in_use = self.running.iter().filter(|(_, running)| *running == vm);
        assert!(in_use.count() < target.share as usize, "share exceeded");
        self.running.push((request.ticket, vm));
    }

    fn check(&self, state: &DispatchState) {
        for vm in (0..VMS).map(vm_name) {
            let in_use = self.running.iter().filter(|(_, running)| *running == vm);
            assert_eq!(state.in_use(&vm), in_use.count() as u32);
        }
        for pool in (0..POOLS).map(pool_name) {
            let waiting = self.waiting.values();
            let waiting = waiting.filter(|request| request.pool == pool).count();
            assert_eq!(state.queue_len(&pool), waiting);
            assert!(waiting <= QUEUE_LIMIT as usize);
            let in_use = |vm: &VmName| {
                let running = self.running.iter();
                running.filter(|(_, running)| running == vm).count() as u32
            };
            let free = self.targets.values().any(|target| {
                target.pool == pool && target.schedulable && in_use(&target.name) < target.share
            });
            assert!(!free || waiting == 0, "waits despite a free slot");
        }
    }

    fn step(&mut self, state: &mut DispatchState, step: HistoryStep) {
        let actions = match step {
            HistoryStep::Submit {
                pool,
                class,
                remaining_ms,
                avoid,
            } => {
                self.next += 1;
                let request = SlotRequest {
                    ticket: self.next,
                    pool: pool_name(pool),
                    class,
                    deadline: self.now + ms(remaining_ms),
                    avoid: avoid.map(vm_name),
                    forwarded: false,
                };
                self.waiting.insert(self.next, request.clone());
                state.submit(self.now, request)
            }
            HistoryStep::Finish { index, service_ms } => {
                if self.running.is_empty() {
                    return;
                }
                let (_, vm) = self.running.remove(index % self.running.len());
                state.finish(self.now, &vm, Some(ms(service_ms)))
            }
            HistoryStep::Cancel { index } => {
                let ticket = self.waiting.keys().nth(index).copied();
                let request = ticket.and_then(|ticket| self.waiting.remove(&ticket));
                assert!(request.is_none_or(|request| state.cancel(&request)));
                Vec::new()
            }
            HistoryStep::SetVm {
                vm,
                pool,
                share,
                schedulable,
            } => {
                self.targets
                    .insert(vm, target(vm, pool, share, schedulable));
                state.set_vms(self.now, self.targets.values().cloned())
            }
            HistoryStep::SetPools { count } => {
                let names: Vec<_> = (0..count).map(pool_name).collect();
                state.set_pools(names.iter().map(|name| (name, QUEUE_LIMIT)))
            }
            HistoryStep::Tick { millis } => {
                self.now += ms(millis);
                state.tick(self.now)
            }
        };
        self.apply(actions);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn dispatch_history(steps in prop::collection::vec(step(), 1..120)) {
        let mut state = DispatchState::default();
        let mut model = Model::default();
        model.step(&mut state, HistoryStep::SetPools { count: POOLS });
        for vm in 0..VMS {
            let step = HistoryStep::SetVm { vm, pool: vm % POOLS, share: 2, schedulable: true };
            model.step(&mut state, step);
        }
        for step in steps {
            model.step(&mut state, step);
            model.check(&state);
        }
        // Each request that still waits is granted or refused in the end.
        model.now += Duration::from_secs(600);
        let actions = state.tick(model.now);
        model.apply(actions);
        prop_assert!(model.waiting.is_empty());
    }

    #[test]
    fn share_sum(slots in 0u32..64, entries in 1u32..8, offset in 0u32..1000) {
        let shares = (0..entries).map(|index| equal_share(slots, entries, index, offset));
        prop_assert_eq!(shares.sum::<u32>(), slots);
    }
}

/// Returns a state with one pool and one VM, all of whose `slots` are in use.
fn full_state(slots: u32, queue_limit: u32) -> DispatchState {
    let mut state = DispatchState::default();
    state.set_pools([(&pool_name(0), queue_limit)]);
    state.set_vms(Duration::ZERO, [target(0, 0, slots, true)]);
    for ticket in 0..u64::from(slots) {
        let actions = state.submit(Duration::ZERO, request(ticket, RequestClass::Batch, 60_000));
        assert!(matches!(actions[..], [DispatchAction::Grant { .. }]));
    }
    state
}

fn granted(actions: &[DispatchAction]) -> Vec<TicketId> {
    let tickets = actions.iter().filter_map(|action| match action {
        DispatchAction::Grant { ticket, .. } => Some(*ticket),
        DispatchAction::Refuse { .. } => None,
    });
    tickets.collect()
}

/// Finishes a request after 1 ms and returns the tickets that get its slot.
fn next_grant(state: &mut DispatchState, now: Duration) -> Vec<TicketId> {
    granted(&state.finish(now, &vm_name(0), Some(ms(1))))
}

#[test]
fn order_class_and_deadline() {
    let mut state = full_state(1, 100);
    let requests = [
        request(11, RequestClass::Batch, 1000),
        request(12, RequestClass::Ordinary, 3000),
        request(13, RequestClass::Ordinary, 2000),
        request(14, RequestClass::Urgent, 9000),
        request(15, RequestClass::Ordinary, 2000),
    ];
    for request in requests {
        assert_eq!(state.submit(ms(1), request), []);
    }
    let order: Vec<_> = (0..5).flat_map(|_| next_grant(&mut state, ms(2))).collect();
    assert_eq!(order, [14, 13, 15, 12, 11]);
}

#[test]
fn order_starvation() {
    let mut state = full_state(1, 1000);
    state.submit(ms(1), request(1000, RequestClass::Batch, 500_000));
    let mut before = 0;
    for ticket in 2000.. {
        // Urgent and ordinary requests keep arriving.
        state.submit(ms(1), request(ticket, RequestClass::Urgent, 400_000));
        state.submit(
            ms(1),
            request(ticket + 100_000, RequestClass::Ordinary, 400_000),
        );
        if next_grant(&mut state, ms(2)) == [1000] {
            break;
        }
        before += 1;
        assert!(before <= 2 * MAX_SKIPS, "starved");
    }
}

#[test]
fn full_queue_urgent() {
    let mut state = full_state(1, 3);
    for ticket in 10..13 {
        let class = RequestClass::Batch;
        assert_eq!(
            state.submit(ms(1), request(ticket, class, 50_000 + ticket)),
            []
        );
    }
    // An urgent request displaces the last one of the lowest class; a batch request is
    // refused.
    let refusal = |actions: &[DispatchAction]| match actions {
        [DispatchAction::Refuse { ticket, reason, .. }] => (*ticket, *reason),
        _ => panic!("{actions:?}"),
    };
    let actions = state.submit(ms(1), request(20, RequestClass::Urgent, 50_000));
    assert_eq!(refusal(&actions), (12, RefuseReason::QueueFull));
    let actions = state.submit(ms(1), request(21, RequestClass::Batch, 50_000));
    assert_eq!(refusal(&actions), (21, RefuseReason::QueueFull));
    assert_eq!(next_grant(&mut state, ms(2)), [20]);
}

#[test]
fn estimate_recovers() {
    // One very slow request must not cause requests with short deadlines to be refused
    // while a slot is free.
    let mut state = full_state(1, 10);
    state.finish(ms(1), &vm_name(0), Some(Duration::from_secs(600)));
    for ticket in 10..20 {
        let actions = state.submit(ms(ticket), request(ticket, RequestClass::Ordinary, 900));
        assert_eq!(granted(&actions), [ticket]);
        state.finish(ms(ticket), &vm_name(0), Some(ms(1)));
    }
}

#[test]
fn schedule_retry_spread() {
    // 4 slots with a service time of 20 ms: the pool serves one request per 5 ms, and
    // half of its capacity is left for new callers.
    let mut state = full_state(4, 1);
    state.submit(ms(1), request(10, RequestClass::Ordinary, 50_000));
    let mut retries = Vec::new();
    for ticket in 100..1100 {
        match &state.submit(ms(1), request(ticket, RequestClass::Ordinary, 50_000))[..] {
            [DispatchAction::Refuse { retry_after, .. }] => retries.push(*retry_after),
            actions => panic!("{actions:?}"),
        }
    }
    assert!(retries[0] >= MIN_RETRY_AFTER);
    let steps = retries.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(steps.clone().all(|step| step == ms(10)), "{retries:?}");
    // The schedule is reset instead of exceeding the maximum time.
    for ticket in 2000..20_000 {
        match &state.submit(ms(1), request(ticket, RequestClass::Ordinary, 50_000))[..] {
            [DispatchAction::Refuse { retry_after, .. }] => {
                assert!((MIN_RETRY_AFTER..=MAX_RETRY_AFTER).contains(retry_after));
            }
            actions => panic!("{actions:?}"),
        }
    }
}

#[test]
fn standing_queue() {
    // 4 slots with a service time of 20 ms and a backlog of one second.
    let mut state = full_state(4, 1000);
    for ticket in 10..210 {
        let request = request(ticket, RequestClass::Ordinary, 60_000);
        assert_eq!(state.submit(ms(1), request), []);
    }
    let reason = |actions: &[DispatchAction]| match actions {
        [DispatchAction::Refuse { reason, .. }] => Some(*reason),
        _ => None,
    };
    let late = request(300, RequestClass::Ordinary, 60_000);
    assert_eq!(reason(&state.submit(ms(400), late)), None);
    let late = request(301, RequestClass::Ordinary, 60_000);
    assert_eq!(
        reason(&state.submit(ms(600), late)),
        Some(RefuseReason::Overload)
    );
    // Only requests that would wait behind the queue are refused; an urgent one goes
    // before it.
    let urgent = request(302, RequestClass::Urgent, 60_000);
    assert_eq!(reason(&state.submit(ms(600), urgent)), None);
}
