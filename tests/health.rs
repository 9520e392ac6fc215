//! Ejection of failing VMs, retry budget and choice of entry VMs for forwarding.
//!
//! Guards against the ejection of most of a pool in a correlated failure, and against
//! resends that multiply the load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use chicorygauge::decide::forward::ForwardState;
use chicorygauge::decide::forward::RefusedRequest;
use chicorygauge::decide::health::EJECT_DIVISOR;
use chicorygauge::decide::health::EJECT_FAILURES;
use chicorygauge::decide::health::FIRST_EJECTION;
use chicorygauge::decide::health::FailureCause;
use chicorygauge::decide::health::HealthState;
use chicorygauge::decide::health::HealthView;
use chicorygauge::decide::health::MAX_EJECTION;
use chicorygauge::decide::retry::MAX_SENDS;
use chicorygauge::decide::retry::RetryBudget;
use chicorygauge::decide::retry::SendFailure;
use chicorygauge::decide::retry::may_resend;
use chicorygauge::names::EntryName;
use chicorygauge::names::PoolName;
use chicorygauge::names::VmName;
use chicorygauge::peer::EntryAck;
use chicorygauge::peer::MemberState;
use chicorygauge::peer::PeerState;
use chicorygauge::request::RefuseReason;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SLOTS: u32 = 8;

fn pool() -> PoolName {
    PoolName::new("pool").expect("name")
}

fn vm_name(index: usize) -> VmName {
    VmName::new(&format!("vm-{index}")).expect("name")
}

fn record_failure(state: &mut HealthState, now: Duration, vm: usize, pool_size: usize) -> bool {
    let view = HealthView {
        vm: &vm_name(vm),
        pool: &pool(),
        pool_size,
    };
    state.record_failure(now, view, FailureCause::Connect)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn ejection_history(
        size in 1usize..12,
        steps in prop::collection::vec((0usize..12, 0u8..6, 0u64..3000), 1..300),
    ) {
        let mut state = HealthState::default();
        let mut now = Duration::ZERO;
        let mut streaks = BTreeMap::<usize, u32>::new();
        for (vm, kind, millis) in steps {
            let vm = vm % size;
            match kind {
                0 => {
                    state.record_success(&vm_name(vm));
                    streaks.remove(&vm);
                }
                1 => {
                    now += Duration::from_millis(millis);
                    state.tick(now);
                }
                _ => {
                    let before = state.ejected().contains_key(&vm_name(vm));
                    record_failure(&mut state, now, vm, size);
                    *streaks.entry(vm).or_default() += 1;
                    let after = state.ejected().get(&vm_name(vm));
                    if let (false, Some(_)) = (before, after) {
                        prop_assert!(streaks[&vm] >= EJECT_FAILURES);
                    }
                }
            }
            // A correlated failure never empties the pool.
            prop_assert!(state.ejected().len() <= size / EJECT_DIVISOR);
            for ejected in state.ejected().values() {
                prop_assert!(ejected.until <= now + MAX_EJECTION);
                prop_assert!(ejected.probing || ejected.until + Duration::from_millis(3000) > now);
            }
        }
    }

    #[test]
    fn budget_share(sends in prop::collection::vec(any::<bool>(), 0..500)) {
        let mut budget = RetryBudget::default();
        let (mut first, mut resends) = (0, 0);
        for resend in sends {
            if resend {
                resends += u32::from(budget.withdraw(&pool()));
            } else {
                first += 1;
                budget.deposit(&pool());
            }
        }
        prop_assert!(f64::from(resends) <= 10.0 + f64::from(first) * 0.1 + 1e-6);
    }
}

#[test]
fn ejection_probe() {
    let mut state = HealthState::default();
    let mut now = Duration::ZERO;
    for count in 1..=EJECT_FAILURES {
        assert_eq!(
            record_failure(&mut state, now, 0, 4),
            count == EJECT_FAILURES
        );
    }
    assert_eq!(state.allowed_slots(&vm_name(0), SLOTS), 0);
    assert_eq!(state.allowed_slots(&vm_name(1), SLOTS), SLOTS);
    let mut period = FIRST_EJECTION;
    for _ in 0..10 {
        // A success of a request that was sent before the ejection does not end it.
        assert!(!state.record_success(&vm_name(0)));
        assert!(!state.tick(now + period - Duration::from_millis(1)));
        now += period;
        assert!(state.tick(now));
        assert_eq!(state.allowed_slots(&vm_name(0), SLOTS), 1);
        assert!(record_failure(&mut state, now, 0, 4));
        period = (period * 2).min(MAX_EJECTION);
    }
    now += period;
    assert!(state.tick(now));
    assert!(state.record_success(&vm_name(0)));
    assert_eq!(state.allowed_slots(&vm_name(0), SLOTS), SLOTS);
}

#[test]
fn ejection_changed_pool() {
    let mut state = HealthState::default();
    for _ in 0..EJECT_FAILURES {
        record_failure(&mut state, Duration::ZERO, 0, 4);
    }
    state.retain(|_| PoolName::new("other").ok());
    assert!(state.ejected().is_empty());
}

#[test]
fn resend_cases() {
    assert!(may_resend(SendFailure::NotRun, false, 1));
    assert!(!may_resend(SendFailure::Unknown, false, 1));
    assert!(may_resend(SendFailure::Unknown, true, 1));
    assert!(!may_resend(SendFailure::NotRun, true, MAX_SENDS));
}

#[test]
fn forward_blocked() {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let name = |index: u16| EntryName::new(&format!("e-{index}")).expect("name");
    let members = (1..=3).map(|index| {
        let member = MemberState {
            entry_address: address(index),
            control_address: address(index),
            last_received: Duration::ZERO,
            ack: EntryAck::default(),
        };
        (name(index), member)
    });
    let peers = PeerState {
        members: members.collect(),
        ..PeerState::default()
    };
    let mut state = ForwardState::default();
    let choose = |state: &mut ForwardState, now, tried: &[SocketAddr]| {
        let request = RefusedRequest {
            pool: &pool(),
            reason: RefuseReason::Overload,
            tried,
        };
        state.choose(now, &peers, &name(1), request)
    };
    // The choice is never this entry VM or one that was tried before.
    for _ in 0..10 {
        let first = choose(&mut state, Duration::ZERO, &[]).expect("a peer");
        assert_ne!(first, address(1));
        let second = choose(&mut state, Duration::ZERO, &[first]).expect("a peer");
        assert!(second != first && second != address(1));
        assert_eq!(choose(&mut state, Duration::ZERO, &[first, second]), None);
    }
    // An entry VM that has refused is skipped for a while.
    state.block(Duration::ZERO, address(2), &pool());
    for _ in 0..10 {
        let target = choose(&mut state, Duration::from_millis(10), &[]);
        assert_eq!(target, Some(address(3)));
    }
    let later = Duration::from_millis(100);
    let targets: Vec<_> = (0..2).map(|_| choose(&mut state, later, &[])).collect();
    assert!(targets.contains(&Some(address(2))));
}
