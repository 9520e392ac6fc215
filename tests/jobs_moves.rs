//! Choice of the VMs that move, with and without expected turns.

use std::collections::BTreeMap;

use chicorygauge::jobs::lend::PoolDemand;
use chicorygauge::jobs::lend::distribute_vms;
use chicorygauge::jobs::moves::AvailableVms;
use chicorygauge::jobs::moves::MoveReason;
use chicorygauge::jobs::moves::choose_moves;
use chicorygauge::jobs::outlook::PoolOutlook;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Returns the moves as they were chosen before turns were forecast.
fn moves_by_demand(
    demands: &BTreeMap<String, PoolDemand>,
    targets: &BTreeMap<String, usize>,
    mut available: AvailableVms,
) -> Vec<(String, String)> {
    let mut shortages: Vec<(usize, String)> = demands
        .iter()
        .map(|(pool, demand)| (targets[pool].saturating_sub(demand.present), pool.clone()))
        .collect();
    shortages.sort_by(|one, other| other.cmp(one));
    let mut moves = Vec::new();
    for (shortage, pool) in shortages {
        for _ in 0..shortage {
            let surplus = || {
                let idle = &mut available.idle;
                let others = available.surpluses.iter_mut();
                let able = others.filter(|(from, surplus)| {
                    **from != pool && **surplus > 0 && !idle[*from].is_empty()
                });
                let (from, surplus) = able.max_by_key(|(_, surplus)| **surplus)?;
                *surplus -= 1;
                idle.get_mut(from)?.pop()
            };
            let Some(machine) = available.standby.pop().or_else(surplus) else {
                break;
            };
            moves.push((machine, pool.clone()));
        }
    }
    moves
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(0x6d6f_7665),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against other decisions than before for pools without a clear period.
    #[test]
    fn choose_moves_without_period_as_by_demand(
        rows in vec((0_usize..30, 0_usize..20, 0_usize..20), 1..6),
        standby in 0_usize..10,
    ) {
        let mut demands = BTreeMap::new();
        let mut outlooks = BTreeMap::new();
        let mut available = AvailableVms {
            standby: (0..standby).map(|number| format!("s-{number}")).collect(),
            ..AvailableVms::default()
        };
        for (number, (wanted, present, _)) in rows.iter().enumerate() {
            let wanted = (*wanted).max(2);
            let demand = PoolDemand { wanted, min: 2, present: *present };
            demands.insert(format!("p{number}"), demand);
            let outlook = PoolOutlook { current: wanted, forecast: None, kept: wanted };
            outlooks.insert(format!("p{number}"), outlook);
        }
        let total = standby + rows.iter().map(|row| row.1).sum::<usize>();
        let targets = distribute_vms(&demands, total);
        for (number, (_, present, idle)) in rows.iter().enumerate() {
            let pool = format!("p{number}");
            let idle = (0..(*idle).min(*present)).map(|vm| format!("{pool}-{vm}")).collect();
            available.surpluses.insert(pool.clone(), present.saturating_sub(targets[&pool]));
            available.serving.insert(pool.clone(), *present);
            available.idle.insert(pool, idle);
        }
        let expected = moves_by_demand(&demands, &targets, available.clone());
        let moves = choose_moves(&demands, &targets, &outlooks, available);
        let moves: Vec<_> = moves.into_iter().map(|planned| (planned.machine, planned.pool)).collect();
        prop_assert_eq!(moves, expected);
    }
}

/// Returns the moves for an expected turn of pool `c`, with ten idle VMs in each of `a` and
/// `b`, of which `kept` are kept and `serving` have arrived, and a target of two for both.
fn moves_for_turn(kept: (usize, usize), serving: usize) -> BTreeMap<String, usize> {
    let demand = |wanted, present| PoolDemand {
        wanted,
        min: 2,
        present,
    };
    let demands: BTreeMap<String, PoolDemand> = [
        ("a".to_owned(), demand(2, 10)),
        ("b".to_owned(), demand(2, 10)),
        ("c".to_owned(), demand(20, 2)),
    ]
    .into();
    let targets = demands.iter().map(|(pool, row)| (pool.clone(), row.wanted));
    let targets: BTreeMap<String, usize> = targets.collect();
    let outlook = |current, forecast, kept| PoolOutlook {
        current,
        forecast: Some(forecast),
        kept,
    };
    let outlooks: BTreeMap<String, PoolOutlook> = [
        ("a".to_owned(), outlook(2, 2, kept.0)),
        ("b".to_owned(), outlook(2, 2, kept.1)),
        ("c".to_owned(), outlook(2, 20, 20)),
    ]
    .into();
    let vms = |pool: &str| (0..10).map(|number| format!("{pool}-{number}")).collect();
    let available = AvailableVms {
        standby: Vec::new(),
        standby_last: false,
        surpluses: [("a".to_owned(), 8), ("b".to_owned(), 8)].into(),
        serving: [("a".to_owned(), serving), ("b".to_owned(), serving)].into(),
        idle: [("a".to_owned(), vms("a")), ("b".to_owned(), vms("b"))].into(),
    };
    let mut taken: BTreeMap<String, usize> = BTreeMap::new();
    for planned in choose_moves(&demands, &targets, &outlooks, available) {
        assert_eq!((&*planned.pool, planned.reason), ("c", MoveReason::Turn));
        let (from, _) = planned.machine.split_once('-').expect("a name");
        *taken.entry(from.to_owned()).or_default() += 1;
    }
    taken
}

/// Guards against an expected turn that takes VMs which their pool will need within two
/// moves.
#[test]
fn choose_moves_turn_leaves_kept_vms() {
    assert_eq!(
        moves_for_turn((2, 2), 10),
        [("a".to_owned(), 8), ("b".to_owned(), 8)].into()
    );
    assert_eq!(moves_for_turn((7, 10), 10), [("a".to_owned(), 3)].into());
    assert_eq!(moves_for_turn((12, 10), 10), BTreeMap::new());
    assert_eq!(
        moves_for_turn((7, 7), 8),
        [("a".to_owned(), 1), ("b".to_owned(), 1)].into(),
        "VMs on their way do not replace those that serve"
    );
}
