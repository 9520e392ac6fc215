//! What counts as evidence that a run, an order or a record is over.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use chicorygauge::jobs::actions::CallerAnswer;
use chicorygauge::jobs::callers::CallerScope;
use chicorygauge::jobs::types::JobState;
use chicorygauge::jobs::wave::WaveOrder;
use chicorygauge::ports::fleet::MachineState;

use crate::world::POOL;
use crate::world::World;
use crate::world::job;
use crate::world::step;

/// Returns a wave of the first `vms` VMs, one at a time.
fn wave(vms: usize) -> WaveOrder {
    WaveOrder {
        wave: 1,
        machines: (0..vms).map(|number| format!("m-{number:02}")).collect(),
        limit_s: 20,
        most: 1,
    }
}

/// Runs the simulation until a VM is in maintenance.
fn run_until_down(world: &mut World, machine: &str) {
    for _ in 0..20_000 {
        world.run(1);
        if world.machines[machine].state == MachineState::Maintenance {
            return;
        }
    }
    panic!("{machine} is not in maintenance");
}

/// The platform confirms an order that it has carried out before: the runs of the worker that had
/// joined since were counted as lost and started elsewhere while they ran on.
#[test]
fn maintain_confirmed_again_keeps_runs_of_new_worker() {
    let mut world = World::new(3, 1);
    world.engine.fleet.enabled = true;
    world.run(300);
    world.submit("j-1", &job(&[step(140, 1000, 7000)]), 1);
    world.run(300);
    let time = world.time();
    world.engine.add_wave(wave(1), None, time);
    world.fleet_answers_lost = true;
    run_until_down(&mut world, "m-00");
    world.run(100);
    world.fleet_answers_lost = false;
    world.run(2000);
    for number in 10..13 {
        world.add_worker(POOL, &format!("m-{number}"));
    }
    world.submit("j-2", &job(&[step(80, 1000, 7000)]), 2);
    world.run(40_000);
    assert!(world.engine.fleet.waves[&1].record.complete);
    assert!(world.completed.contains_key("j-1") && world.completed.contains_key("j-2"));
}

/// The answer to an order for maintenance was lost: the next VM of the wave was ordered while the
/// first was in maintenance.
#[test]
fn maintain_unanswered_counts_as_down() {
    let mut world = World::new(3, 1);
    world.engine.fleet.enabled = true;
    world.run(300);
    let time = world.time();
    world.engine.add_wave(wave(3), None, time);
    world.fleet_answers_lost = true;
    run_until_down(&mut world, "m-00");
    world.run(100);
    world.fleet_answers_lost = false;
    world.run(30_000);
    assert!(world.engine.fleet.waves[&1].record.complete);
    assert_eq!(world.max_down, 1);
}

/// The clock was set ahead before a takeover: the new owner forgot the finished jobs, told their
/// callers that they do not exist, and ran one again that was submitted again.
#[test]
fn restore_ended_clock_ahead_keeps_state() {
    let mut world = World::new(2, 1);
    world.run(300);
    let spec = job(&[step(1, 1000, 200)]);
    world.submit("j-1", &spec, 1);
    world.run(3000);
    assert!(world.completed.contains_key("j-1"));
    world.clock_ahead_ms = 3_600_000;
    world.engine.settings.ended_retention_ms = 4000;
    world.take_over();
    world.run(1000);
    world
        .engine
        .query(&"j-1".into(), &CallerScope::Unrestricted, 2);
    world.step();
    assert_eq!(
        world.answers.get(&2),
        Some(&CallerAnswer::State(JobState::Completed))
    );
    world.submit("j-1", &spec, 3);
    world.run(2000);
    assert_eq!(world.running(), 0);
    assert_eq!(world.starts(), 1);
}

/// One list lacked a VM, as its pages were read while it changed: the VM was dropped from its wave,
/// which was completed without its maintenance.
#[test]
fn wave_vm_missing_in_one_list_is_maintained() {
    let mut world = World::new(3, 1);
    world.engine.fleet.enabled = true;
    world.run(300);
    let time = world.time();
    world.engine.add_wave(wave(2), None, time);
    world.unlisted_machines.insert("m-01".to_owned());
    let was_listed = world.engine.fleet.listed_ms;
    while world.engine.fleet.listed_ms == was_listed || world.engine.fleet.listed_ms.is_none() {
        world.run(1);
    }
    world.unlisted_machines.clear();
    world.run(20_000);
    assert!(world.engine.fleet.waves[&1].record.complete);
    let first = ["w-0001", "w-0002"];
    let machines = world.machines.values();
    let maintained = machines.filter(|row| !first.contains(&row.worker.as_str()));
    assert_eq!(maintained.count(), 3);
}

/// A worker's clock was set back before its restart: the earlier start made the owner ignore the new
/// incarnation, renew the lease of runs that were gone and start others that it never heard of.
#[test]
fn restart_with_earlier_start_loses_runs() {
    let mut world = World::new(1, 1);
    world.run(300);
    world.submit("j-1", &job(&[step(4, 1000, 2000)]), 1);
    world.run(500);
    assert_eq!(world.running(), 4);
    let entry = world.restart("w-0001", 1);
    let now = world.now;
    world.engine.worker_listed(entry, now);
    world.run(6000);
    assert!(world.completed.contains_key("j-1"));
}

/// A worker's clock was set back before its restart: the entry of its earlier incarnation, which was
/// still in the store, was taken as another restart, and its runs were started elsewhere.
#[test]
fn entry_of_earlier_incarnation_keeps_runs() {
    let mut world = World::new(2, 1);
    world.run(300);
    let former = world.workers["w-0001"].entry.clone();
    world.restart("w-0001", 1);
    world.run(2500);
    world.submit("j-1", &job(&[step(40, 1000, 3000)]), 1);
    world.run(500);
    assert!(!world.tasks_at("w-0001").is_empty());
    let now = world.now;
    world.engine.worker_listed(former, now);
    world.run(8000);
    assert!(world.completed.contains_key("j-1"));
}

/// A worker lists a limited number of ends in an answer: runs whose end was left out, and which were
/// no longer listed as running, were started again although they were done.
#[test]
fn more_ends_than_listed_keep_their_runs() {
    let mut world = World::new(1, 1);
    world.run(300);
    world.submit("j-1", &job(&[step(600, 50, 2000)]), 1);
    while world.running() < 600 {
        world.run(1);
    }
    world.store_up = false;
    world.run(4000);
    world.store_up = true;
    world.run(10_000);
    assert!(world.completed.contains_key("j-1"));
    assert_eq!(world.starts(), 600);
}
