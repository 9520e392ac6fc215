//! Decisions on which connections of clients are closed.

use std::collections::BTreeMap;
use std::time::Duration;

use chicorygauge::decide::connections::CloseCause;
use chicorygauge::decide::connections::ConnectionId;
use chicorygauge::decide::connections::ConnectionLimits;
use chicorygauge::decide::connections::ConnectionStage;
use chicorygauge::decide::connections::ConnectionTable;
use chicorygauge::decide::connections::NoRoom;
use chicorygauge::decide::connections::StageLimits;
use proptest::prelude::*;

fn table(connections: usize, buffer_bytes: usize) -> ConnectionTable {
    ConnectionTable::new(ConnectionLimits {
        connections,
        buffer_bytes,
        ..ConnectionLimits::default()
    })
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn open(table: &mut ConnectionTable, millis: u64) -> ConnectionId {
    let (id, closure) = table.open(at(millis)).expect("room");
    assert_eq!(closure, None);
    id
}

/// Nobody was accepted while all places were taken by requests that did not end.
#[test]
fn open_full_longest_without_progress_closed() {
    let mut table = table(3, 1 << 20);
    let head = open(&mut table, 0);
    let body = open(&mut table, 1);
    let whole = open(&mut table, 2);
    table.enter(head, ConnectionStage::Head, at(3));
    table.enter(body, ConnectionStage::Body, at(4));
    table.enter(whole, ConnectionStage::Whole, at(5));
    table.record_progress(head, 2000, at(6));
    let (_, closure) = table.open(at(7)).expect("room");
    assert_eq!(closure, Some((body, CloseCause::Connections)));
    assert!(!table.enter(body, ConnectionStage::Whole, at(8)));
}

/// A client that sends single bytes makes no progress.
#[test]
fn open_full_single_bytes_no_progress() {
    let mut table = table(2, 1 << 20);
    let slow = open(&mut table, 0);
    let new = open(&mut table, 100);
    table.enter(slow, ConnectionStage::Body, at(1));
    for millis in 200..900 {
        table.record_progress(slow, 1, at(millis));
    }
    let (_, closure) = table.open(at(1000)).expect("room");
    assert_eq!(closure, Some((slow, CloseCause::Connections)));
    let (_, closure) = table.open(at(1001)).expect("room");
    assert_eq!(closure, Some((new, CloseCause::Connections)));
}

/// Clients that keep a connection between two requests are the last to be closed.
#[test]
fn open_full_idle_closed_last() {
    let mut table = table(2, 1 << 20);
    let idle = open(&mut table, 0);
    table.enter(idle, ConnectionStage::Idle, at(1));
    let new = open(&mut table, 500);
    let (_, closure) = table.open(at(501)).expect("room");
    assert_eq!(closure, Some((new, CloseCause::Connections)));
}

#[test]
fn open_full_whole_requests_refused() {
    let mut table = table(1, 1 << 20);
    let whole = open(&mut table, 0);
    table.enter(whole, ConnectionStage::Whole, at(1));
    assert_eq!(table.open(at(100_000)), Err(NoRoom));
    table.remove(whole);
    open(&mut table, 100_001);
}

/// A client may take a moment to read its answer.
#[test]
fn open_full_unread_answer_closed_after_grace() {
    let mut table = table(1, 1 << 20);
    let answer = open(&mut table, 0);
    table.enter(answer, ConnectionStage::Answer, at(0));
    assert_eq!(table.open(at(4000)), Err(NoRoom));
    let (_, closure) = table.open(at(6000)).expect("room");
    assert_eq!(closure, Some((answer, CloseCause::Connections)));
}

/// Requests that stop short of their end held their memory until their clients went.
#[test]
fn reserve_little_room_stalled_closed() {
    let mut table = table(10, 1000);
    let ids: Vec<ConnectionId> = (0..4).map(|millis| open(&mut table, millis)).collect();
    for (millis, id) in ids.iter().enumerate() {
        table.enter(*id, ConnectionStage::Body, at(10 + millis as u64));
    }
    for id in &ids[..3] {
        assert_eq!(table.reserve(*id, 250, at(20)), Ok(Vec::new()));
    }
    let closed = table.reserve(ids[3], 200, at(21));
    assert_eq!(closed, Ok(vec![(ids[0], CloseCause::Memory)]));
    assert_eq!(table.reserve(ids[0], 1, at(22)), Err(NoRoom));
    // Memory is free once the connection has ended.
    assert_eq!(table.reserve(ids[3], 60, at(23)), Err(NoRoom));
    table.remove(ids[0]);
    assert!(table.reserve(ids[3], 60, at(24)).is_ok());
}

#[test]
fn expire_each_stage_own_limit() {
    let limits = StageLimits {
        idle: at(1000),
        head: at(300),
    };
    let mut table = table(10, 1000);
    let stages = [
        ConnectionStage::New,
        ConnectionStage::Idle,
        ConnectionStage::Head,
        ConnectionStage::Body,
        ConnectionStage::Whole,
        ConnectionStage::Answer,
    ];
    let ids = stages.map(|stage| {
        let id = open(&mut table, 0);
        table.enter(id, stage, at(0));
        id
    });
    assert_eq!(table.expire(limits, at(299)), []);
    let closed = table.expire(limits, at(300));
    assert_eq!(closed, [(ids[2], CloseCause::HeadTimeout)]);
    let closed = table.expire(limits, at(1000));
    let idle = [(ids[0], CloseCause::Idle), (ids[1], CloseCause::Idle)];
    assert_eq!(closed, idle);
    let closed = table.expire(limits, at(15_000));
    assert_eq!(closed, [(ids[5], CloseCause::AnswerTimeout)]);
}

#[derive(Clone, Debug)]
enum TableStep {
    Open,
    Enter(usize, ConnectionStage),
    Receive(usize, usize),
    Reserve(usize, usize),
    End(usize),
    Expire,
}

fn any_stage() -> impl Strategy<Value = ConnectionStage> {
    prop::sample::select(vec![
        ConnectionStage::Idle,
        ConnectionStage::Head,
        ConnectionStage::Body,
        ConnectionStage::Whole,
        ConnectionStage::Answer,
    ])
}

fn any_step() -> impl Strategy<Value = TableStep> {
    prop_oneof![
        4 => Just(TableStep::Open),
        4 => (0..8_usize, any_stage()).prop_map(|(id, stage)| TableStep::Enter(id, stage)),
        3 => (0..8_usize, 1..3000_usize).prop_map(|(id, bytes)| TableStep::Receive(id, bytes)),
        4 => (0..8_usize, 1..600_usize).prop_map(|(id, bytes)| TableStep::Reserve(id, bytes)),
        2 => (0..8_usize).prop_map(TableStep::End),
        1 => Just(TableStep::Expire),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(53),
        ..ProptestConfig::default()
    })]

    /// Whatever clients do, the limits hold and no whole request is given up.
    #[test]
    fn table_any_history(steps in prop::collection::vec((0..4000_u64, any_step()), 1..120)) {
        const CONNECTIONS: usize = 4;
        const BUFFER_BYTES: usize = 1000;
        let mut table = table(CONNECTIONS, BUFFER_BYTES);
        let mut stages: BTreeMap<ConnectionId, ConnectionStage> = BTreeMap::new();
        let mut closing: Vec<ConnectionId> = Vec::new();
        let mut now = Duration::ZERO;
        for (millis, step) in steps {
            now += at(millis);
            let nth = |index: usize| stages.keys().copied().nth(index);
            let mut closures = Vec::new();
            match step {
                TableStep::Open => match table.open(now) {
                    Ok((id, closure)) => {
                        closures.extend(closure);
                        stages.insert(id, ConnectionStage::New);
                    }
                    Err(NoRoom) => {
                        let open = stages.iter().filter(|(id, _)| !closing.contains(id));
                        let kept = open.filter(|(_, stage)| {
                            matches!(stage, ConnectionStage::Whole | ConnectionStage::Answer)
                        });
                        prop_assert_eq!(kept.count(), CONNECTIONS);
                    }
                },
                TableStep::Enter(index, stage) => {
                    if let Some(id) = nth(index) {
                        let entered = table.enter(id, stage, now);
                        prop_assert_eq!(entered, !closing.contains(&id));
                        if entered {
                            stages.insert(id, stage);
                        }
                    }
                }
                TableStep::Receive(index, bytes) => {
                    if let Some(id) = nth(index) {
                        table.record_progress(id, bytes, now);
                    }
                }
                TableStep::Reserve(index, bytes) => {
                    if let Some(id) = nth(index) {
                        let reserved = table.reserve(id, bytes, now);
                        closures.extend(reserved.unwrap_or_default());
                    }
                }
                TableStep::End(index) => {
                    if let Some(id) = nth(index) {
                        table.remove(id);
                        stages.remove(&id);
                        closing.retain(|closed| *closed != id);
                    }
                }
                TableStep::Expire => {
                    closures = table.expire(StageLimits::default(), now);
                }
            }
            for (id, _) in closures {
                prop_assert_ne!(stages.get(&id), Some(&ConnectionStage::Whole));
                prop_assert!(!closing.contains(&id), "closed twice");
                closing.push(id);
            }
            prop_assert!(table.held_bytes() <= BUFFER_BYTES);
            prop_assert!(stages.len() - closing.len() <= CONNECTIONS);
            prop_assert_eq!(table.len(), stages.len());
        }
        for id in stages.into_keys() {
            table.remove(id);
        }
        prop_assert_eq!(table.held_bytes(), 0);
        prop_assert!(table.is_empty());
    }
}

/// A client that had its whole answer was refused another connection while the first one was not
/// known to be idle yet. Only answers that wait for their client keep their place for longer.
#[test]
fn open_full_answer_sent_soon_known() {
    let mut table = table(1, 1 << 20);
    let first = open(&mut table, 0);
    table.enter(first, ConnectionStage::Whole, at(1));
    assert!(!table.is_sending());
    table.enter(first, ConnectionStage::Answer, at(2));
    assert!(table.is_sending());
    assert_eq!(table.open(at(3)), Err(NoRoom));
    table.set_blocked(first, true);
    assert!(!table.is_sending());
    table.set_blocked(first, false);
    assert!(table.is_sending());
    table.enter(first, ConnectionStage::Idle, at(4));
    assert!(!table.is_sending());
    let (second, closure) = table.open(at(5)).expect("room");
    assert_eq!(closure, Some((first, CloseCause::Connections)));
    table.enter(second, ConnectionStage::Answer, at(6));
    table.remove(second);
    table.remove(first);
    assert!(!table.is_sending());
}
