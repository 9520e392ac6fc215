//! The ledger of resources in use by account: its sums, the rules for limits, and a walk of
//! all states of a small model to a fixed depth, in which the ledger must never count less
//! than may run at the workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicorygauge::jobs::ledger::AccountLedger;
use chicorygauge::jobs::ledger::RunUsage;
use chicorygauge::jobs::ledger::allows_task;
use chicorygauge::jobs::ledger::fits_limit;
use chicorygauge::jobs::types::ResourceVector;
use chicorygauge::jobs::types::TaskId;

/// Number of actions after which the walk ends.
const DEPTH: usize = 9;
/// CPU that each task needs.
const NEED: u64 = 2;
/// CPU limit of each account, before and after it is lowered.
const LIMITS: [u64; 2] = [4, 2];
/// Names of the accounts; each has one task.
const ACCOUNTS: [&str; 2] = ["north", "south"];
/// Number of owners one after another.
const MAX_EPOCH: u32 = 2;
/// Highest run number of a task.
const MAX_RUN: u32 = 3;

fn cpu(cpu: u64) -> ResourceVector {
    ResourceVector {
        cpu,
        ..ResourceVector::default()
    }
}

fn task(index: usize) -> TaskId {
    TaskId {
        job: format!("{index:016x}").as_str().into(),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn usage(account: Option<&str>, pool: &str, need: ResourceVector) -> RunUsage {
    RunUsage {
        account: account.map(Into::into),
        pool: pool.to_owned(),
        need,
    }
}

/// Guards against runs that count twice, or whose end is taken twice or from another worker.
#[test]
fn ledger_counts_each_run_once() {
    let mut ledger = AccountLedger::default();
    let north = Some("north");
    ledger.begin(&task(0), "w-1", 1, usage(north, "intake", cpu(3)));
    ledger.begin(&task(0), "w-1", 1, usage(Some("south"), "intake", cpu(9)));
    ledger.begin(&task(0), "w-2", 1, usage(north, "archive", cpu(4)));
    ledger.begin(&task(1), "w-1", 1, usage(None, "intake", cpu(5)));
    assert_eq!(ledger.usage("north"), cpu(7));
    assert_eq!(ledger.usage("south"), cpu(0));
    let account = "north".into();
    assert_eq!(ledger.pool_usage("intake", Some(&account)), cpu(3));
    assert_eq!(ledger.pool_usage("intake", None), cpu(5));
    assert!(ledger.end(&task(0), "w-3", 1).is_none());
    assert!(ledger.end(&task(0), "w-1", 2).is_none());
    assert!(ledger.end(&task(0), "w-1", 1).is_some());
    assert!(ledger.end(&task(0), "w-1", 1).is_none());
    assert_eq!(ledger.usage("north"), cpu(4));
    assert!(ledger.end(&task(0), "w-2", 1).is_some());
    assert!(ledger.end(&task(1), "w-1", 1).is_some());
    assert_eq!(ledger, AccountLedger::default(), "nothing is left");
}

/// Guards against sums that overflow or lose exactness at absurd needs.
#[test]
fn ledger_huge_needs_do_not_overflow() {
    let mut ledger = AccountLedger::default();
    let huge = ResourceVector {
        cpu: u64::MAX,
        memory_mb: u64::MAX,
        gpu: u64::MAX,
    };
    for run in 0..1000 {
        ledger.begin(&task(0), "w-1", run, usage(Some("north"), "intake", huge));
    }
    ledger.begin(&task(1), "w-1", 1, usage(Some("north"), "intake", cpu(1)));
    for run in 0..1000 {
        ledger.end(&task(0), "w-1", run);
    }
    assert_eq!(ledger.usage("north"), cpu(1));
    assert!(fits_limit(&cpu(0), &huge, &huge), "0 is no limit");
    assert!(!fits_limit(&cpu(u64::MAX - 1), &huge, &huge));
}

/// Guards against wide tasks that never start, and against others that start beyond the
/// limit; each resource is checked by itself.
#[test]
fn limit_rules_by_resource() {
    assert!(allows_task(&cpu(10), &cpu(7), &cpu(3)));
    assert!(!allows_task(&cpu(10), &cpu(7), &cpu(4)));
    assert!(allows_task(&cpu(10), &cpu(5), &cpu(40)));
    assert!(!allows_task(&cpu(10), &cpu(6), &cpu(40)));
    assert!(!fits_limit(&cpu(10), &cpu(5), &cpu(6)));
    assert!(fits_limit(&cpu(10), &cpu(50), &cpu(0)), "it needs no CPU");
    let limit = ResourceVector {
        cpu: 10,
        memory_mb: 100,
        gpu: 0,
    };
    let need = ResourceVector {
        cpu: 1,
        memory_mb: 60,
        gpu: 4,
    };
    assert!(allows_task(&limit, &need, &cpu(1)));
    assert!(!allows_task(&limit, &need, &need));
}

/// A fault that the walk must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlantedFault {
    None,
    /// A run no longer counts from the order of its stop on.
    DiscountedAtStop,
    /// A run no longer counts once its stop is sent again, as the first was not answered.
    DiscountedUnanswered,
    /// A new owner starts with an empty ledger.
    NotRebuilt,
    /// The start is sent before the placement is stored.
    SentBeforeStored,
    /// A run is given up if its start is not answered.
    StartAssumedLost,
    /// The limit is not checked.
    LimitIgnored,
}

/// Task, worker and number.
type RunKey = (usize, usize, u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Reserved,
    Ordered,
    Running,
    Inherited,
    Stopping,
    Stopped,
}

/// The owner, the store, two workers and the orders on their way.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Model {
    epoch: u32,
    lowered: bool,
    /// Runs that the owner holds for alive.
    runs: BTreeMap<RunKey, Phase>,
    last_run: [u32; 2],
    /// Runs in the ledger.
    counted: BTreeSet<RunKey>,
    /// Placements and highest run numbers in the store.
    stored: BTreeSet<RunKey>,
    stored_run: [u32; 2],
    /// Runs at the workers, ends that were not reported, and what they refuse.
    alive: BTreeSet<RunKey>,
    ended: BTreeSet<RunKey>,
    highest: BTreeMap<(usize, usize), u32>,
    worker_epoch: [u32; 2],
    /// Starts on their way with the epoch of their sender, and stops.
    starts: BTreeSet<(RunKey, u32)>,
    stops: BTreeSet<RunKey>,
}

impl Model {
    fn limit(&self) -> ResourceVector {
        cpu(LIMITS[usize::from(self.lowered)])
    }

    /// Returns the ledger of the counted runs.
    fn ledger(&self) -> AccountLedger {
        let mut ledger = AccountLedger::default();
        for (index, worker, run) in &self.counted {
            let usage = usage(Some(ACCOUNTS[*index]), "intake", cpu(NEED));
            ledger.begin(&task(*index), &format!("w-{worker}"), *run, usage);
        }
        ledger
    }

    /// Returns whether a worker would carry out a start.
    fn accepts(&self, (index, worker, run): RunKey, epoch: u32) -> bool {
        let highest = self.highest.get(&(index, worker)).copied().unwrap_or(0);
        epoch >= self.worker_epoch[worker] && run > highest
    }

    /// Returns the CPU that a task's runs use at the workers, or will if its starts arrive.
    fn may_run(&self, index: usize) -> u64 {
        let starts = self.starts.iter();
        let accepted = starts.filter(|(key, epoch)| self.accepts(*key, *epoch));
        let mut runs: BTreeSet<RunKey> = accepted.map(|(key, _)| *key).collect();
        runs.extend(&self.alive);
        runs.iter().filter(|key| key.0 == index).count() as u64 * NEED
    }

    fn release(&mut self, key: RunKey) {
        self.runs.remove(&key);
        self.counted.remove(&key);
        self.stored.remove(&key);
    }

    fn next(&self, fault: PlantedFault) -> Vec<(&'static str, Self)> {
        let mut next = Vec::new();
        self.owner_actions(fault, &mut next);
        self.worker_actions(&mut next);
        self.report_actions(&mut next);
        if self.epoch < MAX_EPOCH {
            next.push(("takeover", self.take_over(fault)));
        }
        if !self.lowered {
            let mut model = self.clone();
            model.lowered = true;
            next.push(("lower limit", model));
        }
        next
    }

    fn owner_actions(&self, fault: PlantedFault, next: &mut Vec<(&'static str, Self)>) {
        for index in 0..2 {
            for worker in 0..2 {
                next.extend(
                    self.reserve(index, worker, fault)
                        .map(|model| ("reserve", model)),
                );
            }
        }
        for (key, phase) in &self.runs {
            let mut model = self.clone();
            match phase {
                Phase::Reserved => {
                    model.runs.insert(*key, Phase::Ordered);
                    if fault != PlantedFault::SentBeforeStored {
                        model.store(*key);
                    }
                    model.starts.insert((*key, self.epoch));
                    next.push(("store and start", model));
                }
                Phase::Ordered | Phase::Running | Phase::Inherited => {
                    if fault == PlantedFault::StartAssumedLost && *phase == Phase::Ordered {
                        let mut model = self.clone();
                        model.release(*key);
                        next.push(("start assumed lost", model));
                    }
                    if fault == PlantedFault::DiscountedAtStop {
                        model.counted.remove(key);
                    }
                    model.runs.insert(*key, Phase::Stopping);
                    model.stops.insert(*key);
                    next.push(("stop", model));
                }
                Phase::Stopping if !self.stops.contains(key) => {
                    if fault == PlantedFault::DiscountedUnanswered {
                        model.counted.remove(key);
                    }
                    model.stops.insert(*key);
                    next.push(("stop again", model));
                }
                Phase::Stopping | Phase::Stopped => {}
            }
        }
    }

    /// Places a run of a task, the second one as a copy, if the limit allows it.
    fn reserve(&self, index: usize, worker: usize, fault: PlantedFault) -> Option<Self> {
        let placed: Vec<_> = self.runs.keys().filter(|key| key.0 == index).collect();
        let usage = self.ledger().usage(ACCOUNTS[index]);
        let allowed = match placed.as_slice() {
            [] => allows_task(&self.limit(), &usage, &cpu(NEED)),
            [other] if other.1 != worker => fits_limit(&self.limit(), &usage, &cpu(NEED)),
            _ => return None,
        };
        let run = self.last_run[index] + 1;
        if run > MAX_RUN || !(allowed || fault == PlantedFault::LimitIgnored) {
            return None;
        }
        let mut model = self.clone();
        let key = (index, worker, run);
        model.last_run[index] = run;
        model.runs.insert(key, Phase::Reserved);
        model.counted.insert(key);
        Some(model)
    }

    fn store(&mut self, key: RunKey) {
        self.stored.insert(key);
        self.stored_run[key.0] = self.stored_run[key.0].max(key.2);
    }

    /// A start or a stop arrives, and its answer does or does not; a run ends by itself.
    fn worker_actions(&self, next: &mut Vec<(&'static str, Self)>) {
        for (key, epoch) in &self.starts {
            let mut lost = self.clone();
            lost.starts.remove(&(*key, *epoch));
            if self.accepts(*key, *epoch) {
                lost.worker_epoch[key.1] = *epoch;
                lost.highest.insert((key.0, key.1), key.2);
                lost.alive.insert(*key);
                let mut answered = lost.clone();
                if self.runs.get(key) == Some(&Phase::Ordered) && *epoch == self.epoch {
                    answered.runs.insert(*key, Phase::Running);
                }
                next.push(("start answered", answered));
            }
            next.push(("start's answer lost", lost));
        }
        for key in &self.stops {
            let mut lost = self.clone();
            lost.stops.remove(key);
            next.push(("stop lost", lost.clone()));
            if lost.alive.remove(key) {
                lost.ended.insert(*key);
            }
            let highest = lost.highest.entry((key.0, key.1)).or_default();
            *highest = (*highest).max(key.2);
            let mut answered = lost.clone();
            if self.runs.get(key) == Some(&Phase::Stopping) {
                answered.runs.insert(*key, Phase::Stopped);
            }
            next.push(("stop answered", answered));
            next.push(("stop's answer lost", lost));
        }
        for key in &self.alive {
            let mut model = self.clone();
            model.alive.remove(key);
            model.ended.insert(*key);
            next.push(("end", model));
        }
    }

    /// A worker lists its runs and ends to the owner.
    fn report_actions(&self, next: &mut Vec<(&'static str, Self)>) {
        for worker in 0..2 {
            let mut model = self.clone();
            model.worker_epoch[worker] = self.epoch;
            for key in self.ended.iter().filter(|key| key.1 == worker) {
                model.ended.remove(key);
                model.release(*key);
            }
            let runs = model.runs.clone();
            for (key, phase) in runs.iter().filter(|(key, _)| key.1 == worker) {
                match (self.alive.contains(key), phase) {
                    (true, Phase::Ordered | Phase::Inherited) => {
                        model.runs.insert(*key, Phase::Running);
                    }
                    (false, Phase::Inherited | Phase::Running | Phase::Stopped) => {
                        model.release(*key);
                    }
                    _ => {}
                }
            }
            let unknown = self.alive.iter().filter(|key| key.1 == worker);
            model
                .stops
                .extend(unknown.filter(|key| !runs.contains_key(key)));
            next.push(("report", model));
        }
    }

    fn take_over(&self, fault: PlantedFault) -> Self {
        let mut model = self.clone();
        model.epoch += 1;
        let stored = self.stored.iter();
        model.runs = stored.map(|key| (*key, Phase::Inherited)).collect();
        model.last_run = self.stored_run;
        model.counted = self.stored.clone();
        if fault == PlantedFault::NotRebuilt {
            model.counted.clear();
        }
        model
    }

    /// Returns what is wrong in a state that follows `before`; none if nothing is.
    fn violation(&self, before: &Self) -> Option<String> {
        let ledger = self.ledger();
        for (index, account) in ACCOUNTS.iter().enumerate() {
            let (may_run, counted) = (self.may_run(index), ledger.usage(account).cpu);
            if may_run > counted {
                return Some(format!(
                    "{account}: {may_run} may run, {counted} are counted"
                ));
            }
            let runs = |model: &Self| model.counted.iter().filter(|key| key.0 == index).count();
            let is_reserved = runs(self) > runs(before);
            if is_reserved && counted > self.limit().cpu {
                return Some(format!("{account}: {counted} are reserved"));
            }
        }
        None
    }
}

/// Walks all states within [`DEPTH`] actions; returns their number, or the actions that lead
/// to a violation.
fn walk(fault: PlantedFault) -> Result<usize, String> {
    let mut seen = BTreeSet::from([Model::default()]);
    let mut layer = vec![(Model::default(), Vec::new())];
    for _ in 0..DEPTH {
        let mut following = Vec::new();
        for (model, path) in layer {
            for (action, next) in model.next(fault) {
                // What is wrong may depend on the action, so a known state is checked too.
                if let Some(violation) = next.violation(&model) {
                    return Err(format!("{violation}: {path:?}, {action}"));
                }
                if seen.contains(&next) {
                    continue;
                }
                let mut path: Vec<&'static str> = path.clone();
                path.push(action);
                seen.insert(next.clone());
                following.push((next, path));
            }
        }
        layer = following;
    }
    Ok(seen.len())
}

/// Guards against a ledger that counts less than may run after any order of starts, lost
/// answers, late starts, ends, stops, takeovers and a lowered limit.
#[test]
fn ledger_counts_all_that_may_run() {
    let states = walk(PlantedFault::None).expect("no violation");
    assert!(states > 100_000, "only {states} states");
    println!("{states} states within {DEPTH} actions");
}

/// Guards against a walk that could not find a fault.
#[test]
fn walk_finds_planted_faults() {
    for fault in [
        PlantedFault::DiscountedAtStop,
        PlantedFault::DiscountedUnanswered,
        PlantedFault::NotRebuilt,
        PlantedFault::SentBeforeStored,
        PlantedFault::StartAssumedLost,
        PlantedFault::LimitIgnored,
    ] {
        match walk(fault) {
            Ok(states) => panic!("{fault:?} is not found in {states} states"),
            Err(found) => println!("{fault:?}: {found}"),
        }
    }
}
