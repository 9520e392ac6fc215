//! Evidence that does not show what it is taken for: orders that another incarnation carries
//! out, lists that are cut off, entries that are older than a run, takeovers with cuts.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use std::net::SocketAddr;
use std::time::Duration;

use chicorygauge::jobs::codec::decode;
use chicorygauge::jobs::permits::PermitRecord;
use chicorygauge::jobs::permits::PermitRow;
use chicorygauge::jobs::record::MemberRecord;
use chicorygauge::jobs::types::JobSpec;
use chicorygauge::jobs::types::RunEnd;
use chicorygauge::jobs::types::StepSpec;
use chicorygauge::jobs::unresponsive::UnresponsiveRecord;
use chicorygauge::jobs::unresponsive::UnresponsiveRow;
use chicorygauge::jobs::wave::WaveOrder;
use chicorygauge::jobs::worker::WorkerView;
use chicorygauge::keep_alive::KeepAliveClient;
use chicorygauge::ports::WorkerReply;
use chicorygauge::ports::worker::EndedRow;
use chicorygauge::ports::worker::WorkerOrder;
use chicorygauge::service::jobs::attempts::RelayOutcome;
use chicorygauge::service::jobs::messages::MemberState;
use chicorygauge::service::jobs::messages::RelayOperation;
use chicorygauge::service::jobs::messages::RelayRequest;
use chicorygauge::service::jobs::relay::RelayClient;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::world::World;
use crate::world::job;
use crate::world::step;

const JOB: &str = "00000000000000aa";

/// Number of ends that a worker lists at a time.
const LISTED_ENDS: u64 = 500;

/// Replaces a worker's incarnation by a later one under the same identifier; its runs are gone.
fn restart(world: &mut World, worker: &str) {
    let worker = world.workers.get_mut(worker).expect("a worker");
    worker.runs.clear();
    worker.entry.born_ms += 100_000;
}

/// Returns the worker that a start was sent to, and whether one was.
fn started_at(world: &World) -> Option<String> {
    let mut calls = world.calls.iter();
    let start = calls.find(|(_, call)| matches!(call.order, WorkerOrder::Start { .. }));
    start.map(|(_, call)| call.worker.clone())
}

/// Cuts a worker off as soon as its runs are no longer counted, so that they are not stopped.
fn cut_after_loss(world: &mut World, worker: &str) {
    for _ in 0..5000 {
        world.run(1);
        let view = world.engine.workers.get(worker);
        if view.is_none_or(|view| view.runs.is_empty()) {
            world.workers.get_mut(worker).expect("a worker").reachable = false;
            return;
        }
    }
}

/// A start reaches a worker that has restarted under its identifier since the last hold. The
/// next hold tells of the restart: the run that has just begun there is counted as lost and
/// placed elsewhere, although the same answer lists it.
#[test]
fn restart_before_start_run_kept() {
    let mut world = World::new(2, 1);
    world.run(300);
    let workers: Vec<String> = world.workers.keys().cloned().collect();
    for worker in &workers {
        restart(&mut world, worker);
    }
    world.submit(JOB, &job(&[step(1, 1000, 5000)]), 1);
    world.run(20);
    let worker = started_at(&world).expect("a start");
    assert_eq!(world.tasks_at(&worker).len(), 1);
    cut_after_loss(&mut world, &worker);
    world.run(20_000);
}

/// The same, with an entry of the new incarnation instead of a hold.
#[test]
fn restart_listed_after_start_run_kept() {
    let mut world = World::new(2, 1);
    world.run(300);
    let workers: Vec<String> = world.workers.keys().cloned().collect();
    for worker in &workers {
        restart(&mut world, worker);
    }
    world.submit(JOB, &job(&[step(1, 1000, 5000)]), 1);
    world.run(20);
    let worker = started_at(&world).expect("a start");
    let entry = world.workers[&worker].entry.clone();
    let now = world.now;
    world.engine.worker_listed(entry, now);
    cut_after_loss(&mut world, &worker);
    world.run(20_000);
}

/// A start is carried out late, by the next incarnation under the same identifier; its run was
/// counted as lost with the restart and placed elsewhere.
#[test]
fn restart_before_late_start_not_placed_twice() {
    for seed in 1..20 {
        let mut world = World::new(2, seed);
        world.run(300);
        world.faults.delayed_orders = 1000;
        world.submit(JOB, &job(&[step(1, 1000, 5000)]), 1);
        world.run(20);
        let worker = started_at(&world).expect("a start");
        world.faults.delayed_orders = 0;
        restart(&mut world, &worker);
        let entry = world.workers[&worker].entry.clone();
        let now = world.now;
        world.engine.worker_listed(entry, now);
        world.run(20_000);
    }
}

/// A worker lists 500 ends at a time. A run that is in neither list has ended beyond them, maybe
/// as done; it was placed again.
#[test]
fn hold_with_500_ends_keeps_unlisted_run() {
    let mut world = World::new(2, 1);
    world.run(20);
    world.submit(JOB, &job(&[step(1, 1000, 60_000)]), 1);
    world.run(1000);
    let worker = started_at(&world).expect("a start");
    let ended = (1..=LISTED_ENDS).map(|number| EndedRow {
        number,
        task: format!("00000000000000bb.0.0.{number}"),
        run: 1,
        end: RunEnd::Done,
        checkpoint: String::new(),
    });
    let reply = WorkerReply::Held {
        clock_ms: world.now,
        born_ms: world.workers[&worker].entry.born_ms,
        running: Vec::new(),
        ended: ended.collect(),
    };
    let now = world.now;
    world.engine.handle_hold_reply(&worker, reply, now - 1, now);
    let view = &world.engine.workers[&worker];
    assert_eq!(view.runs.len(), 1, "the run may have ended as done");
}

/// A worker without an entry at the takeover is found with an entry that is older than the
/// incarnation of its runs, of which the former owner had learnt from the worker itself. Its
/// first answer then looked like a restart, and its runs were placed elsewhere.
#[test]
fn adopt_run_of_later_incarnation_kept() {
    let mut world = World::new(2, 1);
    world.run(20);
    let workers: Vec<String> = world.workers.keys().cloned().collect();
    let old_entries: Vec<_> = workers
        .iter()
        .map(|id| world.workers[id].entry.clone())
        .collect();
    for worker in &workers {
        restart(&mut world, worker);
    }
    // The owner learns of the restarts from the workers.
    world.run(5000);
    world.submit(JOB, &job(&[step(1, 1000, 15_000)]), 1);
    world.run(1000);
    let worker = started_at(&world).expect("a start");
    let busy = world.workers.get_mut(&worker).expect("a worker");
    assert_eq!(busy.runs.len(), 1);
    busy.up = false;
    world.take_over();
    world.workers.get_mut(&worker).expect("a worker").up = true;
    let at = workers.iter().position(|id| *id == worker).expect("it");
    let now = world.now;
    world.engine.worker_listed(old_entries[at].clone(), now);
    let run_born_ms = world.engine.jobs[JOB]
        .live_runs()
        .map(|(_, run)| run.born_ms);
    assert!(run_born_ms.eq([world.workers[&worker].entry.born_ms]));
    assert_eq!(world.engine.workers[&worker].runs.len(), 1);
    cut_after_loss(&mut world, &worker);
    world.run(20_000);
}

/// The clock of a VM is set back before its worker restarts: the new incarnation seems older.
/// The worker must neither be called without pause nor keep the lost runs for ever.
#[test]
fn restart_with_clock_set_back_noticed() {
    let mut world = World::new(2, 1);
    world.run(20);
    world.submit(JOB, &job(&[step(1, 1000, 3000)]), 1);
    world.run(500);
    let worker = started_at(&world).expect("a start");
    let fake = world.workers.get_mut(&worker).expect("a worker");
    fake.runs.clear();
    fake.entry.born_ms -= 900;
    let entry = fake.entry.clone();
    let now = world.now;
    world.engine.worker_listed(entry, now);
    let calls = world.calls.len();
    world.run(20_000);
    let made = world.calls.len() - calls;
    assert!(made < 400, "{made} calls in 20 s");
    assert!(world.completed.contains_key(JOB), "the run is waited for");
}

/// A worker's clock of any value: the longest lease up to a first answer overflowed.
#[test]
fn assume_lease_late_clock_bounded() {
    let world = World::new(1, 1);
    let worker = world.workers.values().next().expect("a worker");
    let mut view = WorkerView::new(worker.entry.clone(), 1000);
    view.assume_lease(u64::MAX - 10, 4200);
    assert_eq!(view.lease_until_ms, u64::MAX);
}

/// A VM whose worker has no entry at the takeover counted as evacuated, and was ordered into
/// maintenance while inherited runs that last were at work there.
#[test]
fn maintain_worker_without_entry_not_evacuated() {
    let mut world = World::new(3, 1);
    world.run(300);
    let long_running = StepSpec {
        lasting: true,
        may_miss: Some(0),
        ..step(1, 1000, 100)
    };
    world.submit(JOB, &job(&[long_running]), 1);
    world.run(500);
    let id = started_at(&world).expect("a start");
    let machine = world.workers[&id].machine.clone();
    let worker = world.workers.remove(&id).expect("the worker");
    world.take_over();
    world.workers.insert(id, worker);
    world.engine.fleet.enabled = true;
    let order = WaveOrder {
        wave: 1,
        machines: [machine].into_iter().collect(),
        limit_s: 20,
        most: 1,
    };
    let time = world.time();
    world.engine.add_wave(order, None, time);
    world.run(4000);
}

/// A worker with ends to list answers holds at once. If its incarnation seems to be an earlier
/// one, the next hold must not follow without a pause.
#[test]
fn hold_of_earlier_incarnation_paused() {
    let mut world = World::new(1, 1);
    world.run(20);
    world.submit(JOB, &job(&[step(1, 1000, 1000)]), 1);
    world.run(500);
    let worker = started_at(&world).expect("a start");
    let fake = world.workers.get_mut(&worker).expect("a worker");
    fake.entry.born_ms -= 900;
    let calls = world.calls.len();
    world.run(5000);
    let made = world.calls.len() - calls;
    assert!(made < 100, "{made} calls in 5 s");
}

/// Relays a submission to an owner at this address, for 300 ms.
async fn relay_to(address: SocketAddr) -> RelayOutcome {
    let record = MemberRecord {
        name: "entry-1".to_owned(),
        address: address.to_string(),
        epoch: 1,
        ..MemberRecord::default()
    };
    let (_members, members) = watch::channel(MemberState {
        synced: true,
        owner: Some((record, 1)),
        ..MemberState::default()
    });
    let (_inbox, inbox) = watch::channel(None);
    let client = RelayClient {
        name: "entry-0".to_owned(),
        members,
        inbox,
        client: KeepAliveClient::default(),
    };
    let request = RelayRequest {
        job: JOB.to_owned(),
        queue: "orders".to_owned(),
        pool: "orders".to_owned(),
        ask: RelayOperation::Submit(JobSpec::default()),
        version: 1,
        account: None,
        terms: None,
    };
    let deadline = Instant::now() + Duration::from_millis(300);
    client.relay(&request, deadline).await
}

/// The deadline ends the only attempt at an owner of another process, which has read it.
#[tokio::test]
async fn relay_deadline_at_peer_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("an address");
    let (outcome, stream) = tokio::join!(relay_to(address), async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buffer = [0; 4096];
        let size = stream.read(&mut buffer).await.expect("a request");
        assert!(size > 0);
        stream
    });
    assert_eq!(outcome, RelayOutcome::Unknown);
    drop(stream);
}

/// No connection is opened, so that nothing was handed over.
#[tokio::test]
async fn relay_refused_by_peer_not_reached() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    assert_eq!(relay_to(address).await, RelayOutcome::NotReached);
}

/// The version before reads the records without their extensions.
#[test]
fn records_read_by_earlier_version() {
    let row = UnresponsiveRow {
        worker: "w-1".to_owned(),
        born_ms: 7,
        lapse_ms: 4000,
        left_ms: Some(300),
    };
    let record = UnresponsiveRecord { rows: vec![row] };
    let bytes = record.encode().expect("a record");
    let read: UnresponsiveRecord = decode("key", &bytes).expect("a record");
    assert_eq!((read.rows.len(), read.rows[0].lapse_ms), (1, 4000));
    let row = PermitRow {
        machine: "m-1".to_owned(),
        holder: "one".to_owned(),
        until_ms: 5000,
        left_ms: Some(-20),
    };
    let record = PermitRecord { rows: vec![row] };
    let bytes = record.encode().expect("a record");
    let read: PermitRecord = decode("key", &bytes).expect("a record");
    assert_eq!((read.rows.len(), read.rows[0].until_ms), (1, 5000));
}

/// Sets for each worker whether it is reachable, with a probability of `percent`.
fn set_some_reachable(world: &mut World, percent: u64) {
    let workers: Vec<String> = world.workers.keys().cloned().collect();
    for id in &workers {
        let reachable = world.draw() % 100 < percent;
        world.workers.get_mut(id).expect("a worker").reachable = reachable;
    }
}

/// Runs the simulation for `least_ms` and up to `spread_ms` more.
fn run_some(world: &mut World, least_ms: u64, spread_ms: u64) {
    let more_ms = world.draw() % spread_ms;
    world.run(least_ms + more_ms);
}

/// Takeovers one after another with cuts, clock steps and a store that is away: the simulated
/// workers check that no task runs twice. With these seeds it does if a new owner forgets what
/// former owners may have granted.
#[test]
fn takeovers_with_cuts_no_task_twice() {
    for seed in [1, 2, 3, 182, 187, 208, 239] {
        let mut world = World::new(3, seed);
        world.faults.lost_replies = 20;
        world.run(100);
        for number in 0..6 {
            let spec = job(&[step(3, 2000, 12_000)]);
            world.submit(&format!("{number:016x}"), &spec, number);
        }
        world.run(1000);
        for _ in 0..6 {
            set_some_reachable(&mut world, 50);
            run_some(&mut world, 200, 2500);
            if world.draw().is_multiple_of(3) {
                world.clock_ahead_ms = (world.draw() % 8000) as i64 - 4000;
            }
            world.store_up = true;
            world.run(10);
            world.take_over();
            world.store_up = world.draw().is_multiple_of(2);
            for _ in 0..4 {
                set_some_reachable(&mut world, 60);
                run_some(&mut world, 50, 800);
            }
            world.store_up = true;
            run_some(&mut world, 0, 5000);
            set_some_reachable(&mut world, 90);
            run_some(&mut world, 0, 3000);
        }
    }
}
