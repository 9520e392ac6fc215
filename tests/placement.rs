//! Placement of tasks: capacity, quotas, racks, eviction, pressure and failures.
//!
//! Guards against overcommitted workers and exceeded quotas, and against a failing worker
//! or job that keeps getting tasks started.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use chicorygauge::config::ResourceAmount;
use chicorygauge::decide::placement::JobId;
use chicorygauge::decide::placement::PlacementOutcome;
use chicorygauge::decide::placement::PlacementState;
use chicorygauge::decide::placement::RefusalReason;
use chicorygauge::decide::placement::ReliefAction;
use chicorygauge::decide::placement::TaskId;
use chicorygauge::decide::placement::TaskRequest;
use chicorygauge::decide::placement::WaitReason;
use chicorygauge::decide::placement::WorkerEntry;
use chicorygauge::decide::resources::covers;
use chicorygauge::decide::resources::saturating_add;
use chicorygauge::names::VmName;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const WORKERS: usize = 6;
const CAPACITY: ResourceAmount = amount(32_000, 64_000, 2);
const QUOTA: ResourceAmount = amount(60_000, 200_000, 4);

const fn amount(cpu_millis: u64, memory_mb: u64, accelerators: u32) -> ResourceAmount {
    ResourceAmount {
        cpu_millis,
        memory_mb,
        accelerators,
    }
}

fn vm(index: usize) -> VmName {
    VmName::new(&format!("vm-{index}")).expect("name")
}

fn pool_state() -> PlacementState {
    let mut state = PlacementState::default();
    for index in 0..WORKERS {
        let entry = WorkerEntry {
            pool: "intake".parse().expect("name"),
            rack: format!("rack-{}", index / 2).parse().expect("name"),
            capacity: CAPACITY,
            schedulable: true,
        };
        state.set_worker(&vm(index), entry);
    }
    state.set_quotas(BTreeMap::from([("red".parse().expect("name"), QUOTA)]));
    state
}

fn task(job: &str, index: u32, need: ResourceAmount) -> TaskRequest {
    let job = JobId {
        pool: "intake".parse().expect("name"),
        name: job.to_owned(),
    };
    TaskRequest {
        id: TaskId { job, index },
        team: None,
        need,
        urgent: false,
    }
}

fn place(state: &mut PlacementState, request: &TaskRequest) -> Option<VmName> {
    match state.place(Duration::ZERO, request) {
        PlacementOutcome::Placed { vm, .. } => Some(vm),
        _ => None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(54),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The needs of placed tasks never exceed a worker's capacity or a team's quota, and
    /// only urgent tasks evict others, none of which are urgent.
    #[test]
    fn placement_capacity_kept(
        steps in vec((1..33u64, 1..65u64, 0..3u32, any::<bool>(), any::<bool>(), 0..4u8), 1..150),
    ) {
        let mut state = pool_state();
        let mut placed: BTreeMap<TaskId, (VmName, TaskRequest)> = BTreeMap::new();
        for (index, (cores, gb, accelerators, urgent, red, finish)) in steps.into_iter().enumerate() {
            let need = amount(cores * 1000, gb * 1000, accelerators);
            let request = TaskRequest {
                team: red.then(|| "red".parse().expect("name")),
                urgent,
                ..task(&format!("job-{}", index % 5), index as u32, need)
            };
            if let PlacementOutcome::Placed { vm, evicted } = state.place(Duration::ZERO, &request) {
                for id in evicted {
                    let (_, other) = placed.remove(&id).expect("a placed task");
                    prop_assert!(urgent && !other.urgent);
                }
                placed.insert(request.id.clone(), (vm, request));
            }
            if finish == 0 && let Some((id, _)) = placed.pop_first() {
                state.finish(Duration::ZERO, &id, Some(true));
            }
            let mut used: BTreeMap<&VmName, ResourceAmount> = BTreeMap::new();
            let mut red = ResourceAmount::default();
            for (vm, request) in placed.values() {
                let sum = used.entry(vm).or_default();
                *sum = saturating_add(*sum, request.need);
                if request.team.is_some() {
                    red = saturating_add(red, request.need);
                }
            }
            prop_assert!(used.values().all(|used| covers(CAPACITY, *used)));
            prop_assert!(covers(QUOTA, red));
        }
    }
}

#[test]
fn placement_never_fits() {
    let mut state = pool_state();
    let refused = |state: &mut PlacementState, request: &TaskRequest| match state
        .place(Duration::ZERO, request)
    {
        PlacementOutcome::Refused(reason) => Some(reason),
        _ => None,
    };
    let huge = task("huge", 0, amount(33_000, 1, 0));
    assert_eq!(
        refused(&mut state, &huge),
        Some(RefusalReason::LargerThanWorkers)
    );
    let greedy = TaskRequest {
        team: Some("red".parse().expect("name")),
        ..task("greedy", 0, amount(1, 1, 5))
    };
    assert_eq!(
        refused(&mut state, &greedy),
        Some(RefusalReason::LargerThanQuota)
    );
    let mut no_workers = task("no-workers", 0, amount(1, 1, 0));
    no_workers.id.job.pool = "billing".parse().expect("name");
    assert_eq!(
        refused(&mut state, &no_workers),
        Some(RefusalReason::NoWorkers)
    );
}

#[test]
fn placement_spreads_racks() {
    let mut state = pool_state();
    let workers =
        (0..3).filter_map(|index| place(&mut state, &task("web", index, amount(1000, 1000, 0))));
    let racks: BTreeSet<_> = workers
        .map(|vm| vm.as_str()[3..].parse::<usize>().expect("index") / 2)
        .collect();
    assert_eq!(racks.len(), 3);
}

#[test]
fn placement_waits_full() {
    let mut state = pool_state();
    for index in 0..WORKERS as u32 {
        assert!(place(&mut state, &task("big", index, amount(32_000, 1000, 0))).is_some());
    }
    let small = task("small", 0, amount(1000, 1000, 0));
    let waits = PlacementOutcome::Waiting(WaitReason::NoCapacity);
    assert_eq!(state.place(Duration::ZERO, &small), waits);
    let urgent = TaskRequest {
        urgent: true,
        ..small
    };
    let outcome = state.place(Duration::ZERO, &urgent);
    assert!(matches!(outcome, PlacementOutcome::Placed { evicted, .. } if evicted.len() == 1));
}

#[test]
fn placement_understated_task() {
    let mut state = pool_state();
    let first =
        place(&mut state, &task("understated", 0, amount(1000, 1000, 0))).expect("free worker");
    let now = Duration::from_secs(1);
    let actions = state.record_usage(now, &first, amount(31_000, 20_000, 0));
    assert_eq!(
        actions,
        [ReliefAction::Throttle(task("understated", 0, CAPACITY).id)]
    );
    for index in 0..40 {
        let vm = place(&mut state, &task("other", index, amount(4000, 1000, 0)));
        assert_ne!(vm, Some(first.clone()));
    }
}

#[test]
fn placement_stale_report() {
    let mut state = pool_state();
    let request = task("heavy", 0, amount(1000, 50_000, 0));
    let vm = place(&mut state, &request).expect("free worker");
    let full = amount(1000, 64_000, 0);
    let second = Duration::from_secs(1);
    let stop = [ReliefAction::Stop(request.id.clone())];
    assert_eq!(state.record_usage(second, &vm, full), stop);
    state.finish(2 * second, &request.id, None);
    place(&mut state, &task("next", 0, amount(1000, 10_000, 0)));
    assert_eq!(state.record_usage(2 * second, &vm, full), []);
}

#[test]
fn placement_bad_worker() {
    let mut state = pool_state();
    let mut bad = None;
    for index in 0..60 {
        let request = task(&format!("job-{index}"), 0, amount(1000, 1000, 0));
        let vm = place(&mut state, &request).expect("free worker");
        let bad = bad.get_or_insert_with(|| vm.clone());
        state.finish(Duration::ZERO, &request.id, Some(vm != *bad));
    }
    let quarantined: Vec<_> = state.quarantined().cloned().collect();
    assert_eq!(quarantined, Vec::from_iter(bad.clone()));
    let request = task("job-60", 0, amount(1000, 1000, 0));
    assert_ne!(place(&mut state, &request), bad);
}

#[test]
fn placement_bad_job() {
    let mut state = pool_state();
    let request = task("broken", 0, amount(1000, 1000, 0));
    for _ in 0..3 {
        assert!(place(&mut state, &request).is_some());
        state.finish(Duration::ZERO, &request.id, Some(false));
    }
    let outcome = state.place(Duration::ZERO, &request);
    assert_eq!(
        outcome,
        PlacementOutcome::Refused(RefusalReason::RepeatedFailures)
    );
    assert_eq!(state.quarantined().count(), 0);
}
