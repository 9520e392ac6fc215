//! Workers that crash silently and start again under their identifier. Orders that were sent
//! during the silence may be carried out by the new incarnation, at any moment.

#[path = "support/world.rs"]
#[expect(dead_code, reason = "other test files use the rest of the world")]
mod world;

use chicorygauge::jobs::types::TaskId;
use chicorygauge::ports::AdviceReply;
use chicorygauge::ports::WorkerEntry;
use chicorygauge::ports::worker::WorkerOrder;

use crate::world::ClockStart;
use crate::world::DRAWN_CLOCKS;
use crate::world::World;
use crate::world::job;
use crate::world::step;

const FIRST: &str = "00000000000000aa";
const SECOND: &str = "00000000000000ab";

/// Time by which all jobs are done, in milliseconds: a silent worker, the longest lease that a
/// delayed start may have been granted, and the jobs' work.
const SETTLED_MS: u64 = 45_000;

/// Returns the worker of the last start.
fn last_start(world: &World) -> String {
    let mut calls = world.calls.iter().rev();
    let start = calls.find(|(_, call)| matches!(call.order, WorkerOrder::Start { .. }));
    start.expect("a start").1.worker.clone()
}

/// A worker that is in use crashes silently.
struct SilentCrash {
    world: World,
    worker: String,
}

impl SilentCrash {
    /// A job runs at a worker, which crashes; a second one is submitted after `until_job_ms`, and
    /// is placed at the same worker unless the silence was noticed.
    fn new(seed: u64, until_job_ms: u64, is_listed: bool) -> Self {
        let mut world = World::new(3, seed);
        world.engine.fleet.enabled = is_listed;
        world.crashes_listed = is_listed;
        world.run(2000);
        world.submit(FIRST, &job(&[step(1, 1000, 5000)]), 1);
        world.run(700);
        let worker = last_start(&world);
        world.crash_silently(&worker);
        world.run(until_job_ms);
        world.submit(SECOND, &job(&[step(1, 1000, 6000)]), 2);
        Self { world, worker }
    }

    /// The worker starts again; for `mute_ms`, its replies are lost. Its entry is listed after
    /// `entry_ms`.
    fn restart(&mut self, entry_ms: u64, mute_ms: u64) {
        let world = &mut self.world;
        let born_ms = world.workers[&self.worker].entry.born_ms + 10_000;
        let entry = world.restart(&self.worker, born_ms);
        let worker = world.workers.get_mut(&self.worker).expect("a worker");
        worker.mute = mute_ms > 0;
        let first_ms = entry_ms.min(mute_ms);
        world.run(first_ms);
        if mute_ms <= entry_ms {
            world.workers.get_mut(&self.worker).expect("it").mute = false;
            world.run(entry_ms - first_ms);
        }
        let now = world.now;
        world.engine.worker_listed(entry, now);
        world.run(mute_ms.saturating_sub(entry_ms));
        world.workers.get_mut(&self.worker).expect("it").mute = false;
    }

    /// Both jobs are done; that no task ran twice is checked at each start.
    fn settle(&mut self, case: &str) {
        self.world.run(SETTLED_MS);
        for id in [FIRST, SECOND] {
            assert!(self.world.completed.contains_key(id), "{id}, {case}");
        }
    }
}

/// A start is sent while its worker is silent, and carried out once the worker has started again
/// under its identifier. Its entry was taken for the loss of that run, which was started
/// elsewhere as well.
#[test]
fn restart_after_silence_start_not_repeated() {
    for down_ms in (30..=1800).step_by(90) {
        for until_job_ms in [5, 150, 420] {
            for entry_ms in [0, 60, 700] {
                let mut crash = SilentCrash::new(down_ms, until_job_ms, false);
                crash.world.run(down_ms);
                crash.restart(entry_ms, 0);
                crash.settle(&format!("{down_ms} {until_job_ms} {entry_ms}"));
            }
        }
    }
}

/// The same after a silence that is longer than the worker's lease.
#[test]
fn restart_after_long_silence_start_not_repeated() {
    for down_ms in (2000..=9000).step_by(500) {
        let mut crash = SilentCrash::new(down_ms, 150, false);
        crash.world.run(down_ms);
        crash.restart(50, 0);
        crash.settle(&format!("{down_ms}"));
    }
}

/// A worker that has started again carries out orders, but its replies are lost for longer than
/// the lease that they were to grant: its clock had started anew, so that the run lasted for
/// longer than expected, and was started elsewhere as well.
#[test]
fn restart_with_lost_replies_start_not_repeated() {
    for down_ms in [100, 300, 450] {
        for mute_ms in [200, 900, 3000, 5500, 9000] {
            for entry_ms in [0, 400, 6000] {
                let mut crash = SilentCrash::new(down_ms, 150, false);
                crash.world.run(down_ms);
                crash.restart(entry_ms, mute_ms);
                crash.settle(&format!("{down_ms} {mute_ms} {entry_ms}"));
            }
        }
    }
}

/// The platform lists the VM of a silent worker without a worker, and the worker then starts again
/// under its identifier: runs that it was told to start meanwhile were taken for lost.
#[test]
fn restart_of_listed_crash_start_not_repeated() {
    for down_ms in (100..=3000).step_by(100) {
        for until_job_ms in [5, 150, 420] {
            let mut crash = SilentCrash::new(down_ms, until_job_ms, true);
            crash.world.run(down_ms);
            crash.restart(60, 0);
            crash.settle(&format!("{down_ms} {until_job_ms}"));
        }
    }
}

/// The owner is replaced while a worker is silent or just after it has started again: its
/// successor took the runs of the former incarnation for lost, also those that the new one had
/// begun.
#[test]
fn take_over_restarted_worker_start_not_repeated() {
    for down_ms in [60, 200, 450, 900] {
        for takeover_ms in [10, 120, 300, 480, 700, 1000] {
            let mut crash = SilentCrash::new(down_ms, 150, false);
            let first_ms = down_ms.min(takeover_ms);
            crash.world.run(first_ms);
            if takeover_ms < down_ms {
                crash.world.take_over();
                crash.world.run(down_ms - first_ms);
                crash.restart(40, 0);
            } else {
                let born_ms = crash.world.workers[&crash.worker].entry.born_ms + 10_000;
                crash.world.restart(&crash.worker, born_ms);
                crash.world.run(takeover_ms - first_ms);
                crash.world.take_over();
            }
            crash.settle(&format!("{down_ms} {takeover_ms}"));
        }
    }
}

/// The first attempt at a start is delayed, the second one confirmed. The worker then starts again
/// under its identifier and carries out the first attempt; the run was taken for lost.
#[test]
fn restart_after_repeated_start_late_attempt_not_repeated() {
    for restart_ms in (520..=2400).step_by(40) {
        let mut world = World::new(2, restart_ms);
        world.run(2000);
        world.faults.delayed_orders = 1000;
        world.submit(FIRST, &job(&[step(1, 1000, 6000)]), 1);
        world.run(20);
        let worker = last_start(&world);
        world.faults.delayed_orders = 0;
        world.run(restart_ms);
        let born_ms = world.workers[&worker].entry.born_ms + 10_000;
        world.crash_silently(&worker);
        world.run(30);
        let entry = world.restart(&worker, born_ms);
        let now = world.now;
        world.engine.worker_listed(entry, now);
        world.run(SETTLED_MS);
        assert!(world.completed.contains_key(FIRST), "{restart_ms}");
    }
}

/// Tasks that crash their worker soon after their start, at workers that start again under their
/// identifier: the loss must count against the task although its run may have been kept.
#[test]
fn restart_under_id_deadly_task_given_up() {
    let mut world = World::new(3, 1);
    world.run(2000);
    world.submit(FIRST, &job(&[step(1, 1000, 5000)]), 1);
    for _ in 0..3000 {
        world.run(10);
        let running: Vec<String> = world.workers.keys().cloned().collect();
        for worker in running {
            if world.tasks_at(&worker).is_empty() {
                continue;
            }
            let born_ms = world.workers[&worker].entry.born_ms + 10_000;
            world.crash_silently(&worker);
            world.run(300);
            let entry = world.restart(&worker, born_ms);
            let now = world.now;
            world.engine.worker_listed(entry, now);
        }
    }
    assert!(world.starts() <= 12, "{} starts", world.starts());
}

/// Time from a worker's restart after which its entry is not listed any more, in milliseconds.
const LAST_ENTRY_MS: u64 = 5000;

/// A worker that crashes silently and starts again under its identifier, which takes starts before
/// the owner learns of that.
struct UnnoticedRestart {
    world: World,
    worker: String,
    /// Its entry, which is not listed yet.
    entry: WorkerEntry,
}

impl UnnoticedRestart {
    /// Three short jobs and a long one run at a worker, which crashes after the short ones are done
    /// and stored, and starts again `down_ms` later with this clock. A job of `work_ms` is
    /// submitted just after that, and is placed there.
    fn new(down_ms: u64, clock_start: ClockStart, work_ms: u64) -> Self {
        let mut world = World::new(3, down_ms);
        world.clock_start = Some(clock_start);
        world.run(2000);
        world.submit(FIRST, &job(&[step(1, 1000, 5000)]), 1);
        world.run(20);
        let worker = last_start(&world);
        for number in 0..3 {
            let id = format!("00000000000000c{number}");
            world.submit(&id, &job(&[step(1, 1000, 50)]), 10 + number);
        }
        world.run(700);
        world.crash_silently(&worker);
        world.run(down_ms);
        let born_ms = world.workers[&worker].entry.born_ms + 10_000;
        let entry = world.restart(&worker, born_ms);
        world.run(2);
        world.submit(SECOND, &job(&[step(1, 1000, work_ms)]), 2);
        Self {
            world,
            worker,
            entry,
        }
    }

    /// Lists the worker's entry after `entry_ms`, cuts the worker off from `cut_ms` on for
    /// `cut_for_ms`, and replaces the owner after `takeover_ms`, each if given.
    fn go_on(&mut self, entry_ms: u64, cut: Option<(u64, u64)>, takeover_ms: Option<u64>) {
        let (cut_ms, heal_ms) = cut.map_or((u64::MAX, u64::MAX), |(at, length)| (at, at + length));
        let world = &mut self.world;
        let last_ms = takeover_ms.unwrap_or(0).max(cut.map_or(0, |_| heal_ms));
        for at_ms in 0..=last_ms.max(entry_ms.min(LAST_ENTRY_MS)) {
            if at_ms == entry_ms {
                let now = world.now;
                world.engine.worker_listed(self.entry.clone(), now);
            }
            if at_ms == cut_ms || at_ms == heal_ms {
                let worker = world.workers.get_mut(&self.worker).expect("it");
                worker.reachable = at_ms == heal_ms;
            }
            if Some(at_ms) == takeover_ms {
                world.take_over();
            }
            world.run(1);
        }
    }

    /// All jobs are done; that no task ran twice is checked at each start.
    fn settle(&mut self, case: &str) {
        let end_ms = self.world.now + SETTLED_MS;
        let jobs = [FIRST, SECOND];
        while !jobs.iter().all(|id| self.world.completed.contains_key(*id)) {
            assert!(self.world.now < end_ms, "{case}");
            self.world.run(500);
        }
    }
}

/// A start that a worker had answered before its restart was known was counted for its former
/// incarnation, whatever its clock showed, and the task was started elsewhere as well.
#[test]
fn start_before_restart_is_known_not_repeated() {
    for (number, clock_start) in DRAWN_CLOCKS.into_iter().enumerate() {
        for down_ms in (40..=700).step_by(130) {
            for entry_ms in [0, 400, 2000] {
                let mut restart = UnnoticedRestart::new(down_ms, clock_start, 6000);
                restart.go_on(entry_ms, None, None);
                restart.settle(&format!("{number} {down_ms} {entry_ms}"));
            }
        }
    }
}

/// The worker is cut off soon after its restart, and runs on. Its lease was reckoned on the clock
/// of its former incarnation, and the task was started elsewhere before it had ended.
#[test]
fn start_before_restart_is_known_then_cut_not_repeated() {
    for (number, clock_start) in DRAWN_CLOCKS.into_iter().enumerate() {
        for down_ms in [60, 450] {
            for cut_ms in [30, 600, 1700] {
                for entry_ms in [10, 500, 20_000] {
                    let mut restart = UnnoticedRestart::new(down_ms, clock_start, 13_000);
                    restart.go_on(entry_ms, Some((cut_ms, 11_000)), None);
                    let case = format!("{number} {down_ms} {cut_ms} {entry_ms}");
                    restart.settle(&case);
                }
            }
        }
    }
}

/// The same with an owner that is replaced meanwhile.
#[test]
fn start_before_restart_is_known_then_taken_over_not_repeated() {
    for (number, clock_start) in DRAWN_CLOCKS.into_iter().enumerate() {
        for down_ms in [60] {
            for cut_ms in [30, 1400] {
                for takeover_ms in [20, 500, 1200] {
                    for entry_ms in [10, 20_000] {
                        let mut restart = UnnoticedRestart::new(down_ms, clock_start, 13_000);
                        restart.go_on(entry_ms, Some((cut_ms, 11_000)), Some(takeover_ms));
                        let case = format!("{number} {down_ms} {cut_ms} {takeover_ms} {entry_ms}");
                        restart.settle(&case);
                    }
                }
            }
        }
    }
}

/// The new incarnation completes a run before it is asked for a report. The next hold acknowledged
/// ends of the former incarnation, whose numbers are higher, so that the end was forgotten unseen
/// and the task was run again.
#[test]
fn end_before_restart_is_known_not_forgotten() {
    for (number, clock_start) in DRAWN_CLOCKS.into_iter().enumerate() {
        for down_ms in (40..=700).step_by(130) {
            for entry_ms in [0, 400, 4000] {
                let mut restart = UnnoticedRestart::new(down_ms, clock_start, 100);
                restart.go_on(entry_ms, None, None);
                restart.settle(&format!("{number} {down_ms} {entry_ms}"));
            }
        }
    }
}

/// The run that a new incarnation has begun works at full speed, but counted as paced down, as the
/// former one had been told, so that its pace was not set again.
#[test]
fn start_before_restart_is_known_pace_set_anew() {
    let mut restart = UnnoticedRestart::new(200, |_| 0, 6000);
    restart.world.run(100);
    let steps = restart.world.engine.jobs.get_mut(SECOND).expect("a job");
    let tasks = steps.open.values_mut().flatten();
    for placed in tasks.flat_map(|step| &mut step.tasks[0].placed) {
        placed.pace = 0;
    }
    restart.go_on(900, None, None);
    let job = &restart.world.engine.jobs[SECOND];
    let placed = &job.open[&0][0].tasks[0].placed;
    assert_eq!(placed.len(), 1, "the run is kept");
    assert_eq!(placed[0].pace, 100);
}

/// A ticket holds for one incarnation: starts with that of the former one were sent, and refused.
#[test]
fn restart_ticket_not_used_again() {
    let mut world = World::new(1, 1);
    world.run(2000);
    world.submit(FIRST, &job(&[step(1, 64_000, 5000)]), 1);
    let worker = world.workers.keys().next().expect("a worker").clone();
    let name = TaskId::parse(&format!("{FIRST}.0.0.0")).expect("a task");
    let reply = AdviceReply::Allowed {
        tickets: vec![(worker.clone(), "ticket".to_owned())],
        valid_ms: 60_000,
    };
    let (asked, now) = ([worker.clone()], world.now);
    world
        .engine
        .handle_advice_reply(&name, &asked, Some(reply), now);
    let tickets = |world: &World| world.engine.jobs[FIRST].open[&0][0].advice.tickets.len();
    assert_eq!(tickets(&world), 1);
    world.crash_silently(&worker);
    let born_ms = world.workers[&worker].entry.born_ms + 10_000;
    let entry = world.restart(&worker, born_ms);
    world.run(900);
    let now = world.now;
    world.engine.worker_listed(entry, now);
    world.run(2000);
    assert_eq!(tickets(&world), 0);
}
