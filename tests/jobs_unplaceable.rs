//! Jobs that find no worker, for whatever they lack, beside jobs that idle workers could take.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use chicorygauge::jobs::account::AccountConfig;
use chicorygauge::jobs::actions::CallerAnswer;
use chicorygauge::jobs::config::JobConfig;
use chicorygauge::jobs::types::ResourceVector;
use chicorygauge::jobs::types::StepSpec;
use chicorygauge::jobs::unplaceable::UnplaceableNeeds;
use chicorygauge::ports::WorkerEntry;

use crate::world::POOL;
use crate::world::World;
use crate::world::config;
use crate::world::job;
use crate::world::step;

const SOUND: &str = "ffffffffffffffff";

/// Time within which a job starts that an idle worker could take, in milliseconds; a few passes.
const START_MS: u64 = 400;

fn job_id(number: usize) -> String {
    format!("{number:016x}")
}

fn needing(need: ResourceVector) -> StepSpec {
    StepSpec {
        need,
        ..step(1, 0, 500)
    }
}

/// Returns steps that no worker of the world can take, each for lack of something else.
fn unplaceable_steps() -> Vec<(&'static str, StepSpec)> {
    let small = step(1, 500, 500);
    let gpu = needing(ResourceVector {
        cpu: 500,
        memory_mb: 50,
        gpu: 1,
    });
    let memory = needing(ResourceVector {
        cpu: 500,
        memory_mb: 1_000_000,
        gpu: 0,
    });
    let label = StepSpec {
        label: "arm".to_owned(),
        ..small.clone()
    };
    let gang = StepSpec {
        gang: true,
        tasks: 400,
        ..small.clone()
    };
    let rack_gang = StepSpec {
        one_rack: true,
        ..gang.clone()
    };
    vec![
        ("gpu", gpu),
        ("memory", memory),
        ("cpu", step(1, 64_000, 500)),
        ("label", label),
        ("gang", gang),
        ("rack gang", rack_gang),
    ]
}

/// A long-running job that asked for a GPU that no worker has kept all later jobs of its pool
/// from idle workers.
#[test]
fn place_missing_gpu_others_start() {
    let mut world = World::new(4, 1);
    world.run(20);
    let step = StepSpec {
        lasting: true,
        ..needing(ResourceVector {
            cpu: 500,
            memory_mb: 50,
            gpu: 1,
        })
    };
    world.submit(&job_id(1), &job(&[step]), 1);
    world.run(1000);
    world.submit(SOUND, &job(&[crate::step(1, 1000, 600)]), 2);
    world.run(START_MS);
    assert_eq!(world.starts(), 1);
}

/// The same for each kind of lack, with many jobs that lack it, long-running or not.
#[test]
fn place_many_unplaceable_others_start() {
    for (lack, step) in unplaceable_steps() {
        for lasting in [false, true] {
            let mut world = World::new(4, 1);
            world.run(20);
            let blocking = job(&[StepSpec {
                lasting,
                ..step.clone()
            }]);
            for number in 0..1500 {
                world.restore_waiting(&job_id(number), &blocking);
            }
            world.run(300);
            // Its remaining work is larger, so that it ranks last.
            world.restore_waiting(SOUND, &job(&[crate::step(1, 1000, 600_000)]));
            world.run(START_MS);
            assert_eq!(world.starts(), 1, "{lack}, lasting {lasting}");
        }
    }
}

/// Jobs of many sizes, all too large for any worker.
#[test]
fn place_many_sizes_others_start() {
    for lasting in [false, true] {
        let mut world = World::new(4, 1);
        world.run(20);
        for number in 0..300 {
            let large = needing(ResourceVector {
                cpu: 32_001 + (number as u64 * 7919) % 3000,
                memory_mb: 100 + (number as u64 * 104_729) % 5000,
                gpu: number as u64 % 3,
            });
            let large = StepSpec { lasting, ..large };
            world.restore_waiting(&job_id(number), &job(&[large]));
        }
        world.run(300);
        world.restore_waiting(SOUND, &job(&[step(1, 1000, 600_000)]));
        world.run(START_MS);
        assert_eq!(world.starts(), 1, "lasting {lasting}");
    }
}

/// Tasks that wait for a part of the pool that is in use, not for what it never has.
#[test]
fn place_used_up_label_others_start() {
    let mut world = World::new(4, 1);
    let labelled = world.workers["w-0001"].entry.clone();
    let labelled = WorkerEntry {
        labels: vec!["arm".to_owned(), "r-0".to_owned()],
        ..labelled
    };
    let now = world.now;
    world.engine.worker_listed(labelled, now);
    world.run(20);
    let step = StepSpec {
        label: "arm".to_owned(),
        lasting: true,
        ..step(1, 16_000, 500)
    };
    for number in 0..800 {
        world.restore_waiting(&job_id(number), &job(std::slice::from_ref(&step)));
    }
    world.run(300);
    assert_eq!(world.starts(), 2);
    world.restore_waiting(SOUND, &job(&[crate::step(1, 1000, 600_000)]));
    world.run(START_MS);
    assert_eq!(world.starts(), 3);
}

/// Once room comes, jobs that have waited for it start, although many others wait as well.
#[test]
fn place_room_comes_waiting_job_starts() {
    for (lack, step) in unplaceable_steps() {
        let mut world = World::new(4, 1);
        world.run(20);
        for number in 0..600 {
            let gpus = needing(ResourceVector {
                cpu: 500,
                memory_mb: 50,
                gpu: 8 + number as u64 % 2,
            });
            world.restore_waiting(&job_id(number), &job(&[gpus]));
        }
        world.restore_waiting(SOUND, &job(&[step]));
        world.run(500);
        assert_eq!(world.starts(), 0, "{lack}");
        let id = world.add_worker(POOL, "m-large");
        let worker = world.workers.get_mut(&id).expect("the worker");
        worker.entry.capacity = ResourceVector {
            cpu: 640_000,
            memory_mb: 2_000_000,
            gpu: 4,
        };
        worker.entry.labels.insert(0, "arm".to_owned());
        let entry = worker.entry.clone();
        let now = world.now;
        world.engine.worker_listed(entry, now);
        world.run(START_MS);
        assert!(world.starts() > 0, "{lack}");
    }
}

/// A job of an account that finds no worker must hold neither its other jobs nor other accounts'.
#[test]
fn place_accounts_missing_gpu_others_start() {
    let account = |name: &str| AccountConfig {
        name: name.to_owned(),
        weight: 1.0,
        ..AccountConfig::default()
    };
    let config = JobConfig {
        accounts: Some(vec![account("one"), account("two")]),
        ..config()
    };
    let mut world = World::with_config(config, 1);
    for number in 0..4 {
        world.add_worker(POOL, &format!("m-{number}"));
    }
    world.run(20);
    let gpu = needing(ResourceVector {
        cpu: 100,
        memory_mb: 10,
        gpu: 1,
    });
    for number in 0..300 {
        world.submit_as(
            &job_id(number),
            &job(std::slice::from_ref(&gpu)),
            "orders",
            Some("one"),
            number as u64,
        );
    }
    world.run(300);
    assert_eq!(world.starts(), 0);
    for (number, account) in ["one", "two"].into_iter().enumerate() {
        let id = format!("fffffffffffffff{number}");
        let sound = job(&[step(1, 1000, 600)]);
        world.submit_as(&id, &sound, "orders", Some(account), 1000 + number as u64);
    }
    world.run(START_MS);
    assert_eq!(world.starts(), 2);
}

/// Work that no worker of the pool could do counted as backlog: jobs that idle workers could take
/// were refused.
#[test]
fn admit_beside_unplaceable_accepted() {
    for (lack, step) in unplaceable_steps() {
        for lasting in [false, true] {
            let mut world = World::new(4, 1);
            world.engine.fleet.enabled = true;
            world.run(20);
            let blocking = job(&[StepSpec {
                lasting,
                ..step.clone()
            }]);
            for number in 0..3000 {
                world.restore_waiting(&job_id(number), &blocking);
            }
            world.run(1500);
            for waiter in 0..20 {
                let id = format!("ffffffffffff{waiter:04}");
                world.submit(&id, &job(&[crate::step(4, 1000, 1200)]), waiter);
                world.run(100);
                let answer = world.answers.get(&waiter);
                let case = format!("{lack}, lasting {lasting}, {waiter}");
                assert_eq!(answer, Some(&CallerAnswer::Accepted), "{case}");
            }
        }
    }
}

/// What found no worker is compared in each resource, and with each need that found none.
#[test]
fn unplaceable_needs_each_resource() {
    let need = |cpu, memory_mb, gpu| ResourceVector {
        cpu,
        memory_mb,
        gpu,
    };
    let mut needs = UnplaceableNeeds::default();
    needs.insert(need(500, 128, 1));
    assert!(!needs.includes(&need(1000, 256, 0)));
    assert!(needs.includes(&need(1000, 256, 2)));
    needs.insert(need(64_000, 10, 0));
    assert!(needs.includes(&need(500, 128, 1)));
    assert!(needs.includes(&need(64_000, 10, 0)));
    assert!(!needs.includes(&need(63_999, 9999, 0)));
}
