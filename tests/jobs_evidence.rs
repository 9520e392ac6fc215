//! What counts as evidence that a run, an order or a record is over.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

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
