//! Shares of slots under random interleavings of starts, crashes, delays and losses.
//!
//! Guards against shares of a VM that together exceed its slots, because entry VMs know
//! different rosters.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicorygauge::decide::membership::EntryReport;
use chicorygauge::decide::membership::MembershipView;
use chicorygauge::decide::membership::next_roster;
use chicorygauge::decide::membership::places_of;
use chicorygauge::decide::slots::smaller_share;
use chicorygauge::fleet::EntryRoster;
use chicorygauge::names::EntryName;
use chicorygauge::names::VmName;
use chicorygauge::peer::EntryAck;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ENTRIES: usize = 4;
const VMS: [(&str, u32); 3] = [("vm-1", 1), ("vm-2", 8), ("vm-3", 5)];

/// One step of a random history; the numbers are indexes.
#[derive(Clone, Debug)]
enum HistoryStep {
    /// Starts a process at an entry VM that has none.
    Start(usize),
    /// Kills the process of an entry VM.
    Kill(usize),
    /// Begins a request of an entry VM on a VM if the share allows it.
    Begin(usize, usize),
    /// Ends a request of an entry VM on a VM.
    End(usize, usize),
    /// Delivers to an entry VM the roster that was written a number of writes ago.
    Deliver(usize, usize),
    /// Sends a report from an entry VM.
    Report(usize),
    /// Makes a membership decision. The low bits of `received` select the entry VMs whose
    /// reports arrive, the high bits those that the platform no longer lists if they have
    /// no process.
    /// `stale` is the number of newer reports that have been lost or delayed.
    Decide { received: u8, stale: usize },
    /// Delivers the roster to all processes and decides on new reports from all of them;
    /// the platform no longer lists entry VMs without a process.
    Round,
}

fn steps() -> impl Strategy<Value = Vec<HistoryStep>> {
    let entry = 0..ENTRIES;
    let step = prop_oneof![
        2 => entry.clone().prop_map(HistoryStep::Start),
        1 => entry.clone().prop_map(HistoryStep::Kill),
        12 => (entry.clone(), 0..VMS.len()).prop_map(|(entry, vm)| HistoryStep::Begin(entry, vm)),
        3 => (entry.clone(), 0..VMS.len()).prop_map(|(entry, vm)| HistoryStep::End(entry, vm)),
        6 => (entry.clone(), 0..4_usize).prop_map(|(entry, age)| HistoryStep::Deliver(entry, age)),
        6 => entry.prop_map(HistoryStep::Report),
        6 => (any::<u8>(), 0..3_usize)
            .prop_map(|(received, stale)| HistoryStep::Decide { received, stale }),
        4 => Just(HistoryStep::Round),
    ];
    prop::collection::vec(step, 1..200)
}

#[derive(Clone)]
struct EntryProcess {
    incarnation: u64,
    roster: EntryRoster,
    in_use: BTreeMap<VmName, u32>,
}

/// Running processes, all rosters written and all reports sent.
#[derive(Default)]
struct History {
    processes: BTreeMap<usize, EntryProcess>,
    started: u64,
    written: Vec<EntryRoster>,
    reports: BTreeMap<usize, Vec<EntryReport>>,
}

fn name_of(entry: usize) -> EntryName {
    format!("e-{entry}").parse().expect("name")
}

fn vm_of(vm: usize) -> VmName {
    VMS[vm].0.parse().expect("name")
}

fn share_of(entry: usize, process: &EntryProcess, vm: usize) -> u32 {
    let (place, next) = places_of(&process.roster, &name_of(entry), process.incarnation);
    smaller_share(&vm_of(vm), VMS[vm].1, place, next)
}

impl History {
    fn apply(&mut self, step: &HistoryStep) {
        match *step {
            HistoryStep::Start(entry) => self.start(entry),
            HistoryStep::Kill(entry) => drop(self.processes.remove(&entry)),
            HistoryStep::Begin(entry, vm) => self.begin(entry, vm),
            HistoryStep::End(entry, vm) => self.end(entry, vm),
            HistoryStep::Deliver(entry, age) => self.deliver(entry, age),
            HistoryStep::Report(entry) => self.report(entry),
            HistoryStep::Decide { received, stale } => self.decide(received, stale),
            HistoryStep::Round => self.round(),
        }
    }

    fn start(&mut self, entry: usize) {
        self.started += 1;
        let incarnation = self.started;
        self.processes.entry(entry).or_insert(EntryProcess {
            incarnation,
            roster: EntryRoster::default(),
            in_use: BTreeMap::new(),
        });
    }

    fn begin(&mut self, entry: usize, vm: usize) {
        if let Some(process) = self.processes.get_mut(&entry) {
            let share = share_of(entry, process, vm);
            let in_use = process.in_use.entry(vm_of(vm)).or_default();
            *in_use += u32::from(*in_use < share);
        }
    }

    fn end(&mut self, entry: usize, vm: usize) {
        let process = self.processes.get_mut(&entry);
        if let Some(in_use) = process.and_then(|process| process.in_use.get_mut(&vm_of(vm))) {
            *in_use = in_use.saturating_sub(1);
        }
    }

    /// Delivers the roster that was written `age` writes ago, unless a newer one is known.
    fn deliver(&mut self, entry: usize, age: usize) {
        let roster = self.written.iter().rev().nth(age);
        if let (Some(process), Some(roster)) = (self.processes.get_mut(&entry), roster)
            && roster.generation > process.roster.generation
        {
            process.roster = roster.clone();
        }
    }

    fn report(&mut self, entry: usize) {
        if let Some(process) = self.processes.get(&entry) {
            let report = EntryReport {
                entry_address: ([127, 0, 0, 1], 1000 + entry as u16).into(),
                control_address: ([127, 0, 0, 1], 2000 + entry as u16).into(),
                incarnation: process.incarnation,
                ack: EntryAck {
                    generation: process.roster.generation,
                    in_use: process.in_use.clone(),
                    ..EntryAck::default()
                },
            };
            self.reports.entry(entry).or_default().push(report);
        }
    }

    /// Decides on reports, some of which are lost and all of which may be old.
    fn decide(&mut self, received: u8, stale: usize) {
        let reports = self.reports.iter();
        let reports = reports.filter(|(entry, _)| received & (1 << **entry) != 0);
        let reports = reports.filter_map(|(entry, reports)| {
            let report = reports.iter().rev().nth(stale)?;
            Some((name_of(*entry), report.clone()))
        });
        let reports: BTreeMap<_, _> = reports.collect();
        // An entry VM that the platform no longer lists has no process.
        let gone = (0..ENTRIES).filter(|entry| {
            !self.processes.contains_key(entry) && received & (1 << (entry + ENTRIES)) != 0
        });
        let gone: BTreeSet<_> = gone.map(name_of).collect();
        let slots = (0..VMS.len()).map(|vm| (vm_of(vm), VMS[vm].1));
        let roster = self.written.last().cloned().unwrap_or_default();
        let next = next_roster(&MembershipView {
            roster: &roster,
            reports: &reports,
            gone: &gone,
            slots: &slots.collect(),
        });
        self.written.extend(next);
    }

    /// Checks that no VM's slots are exceeded and that generations increase.
    fn check(&self) -> Result<(), TestCaseError> {
        for (vm, (name, slots)) in VMS.iter().enumerate() {
            let used = self.processes.iter().map(|(entry, process)| {
                let in_use = process.in_use.get(&vm_of(vm)).copied().unwrap_or(0);
                in_use.max(share_of(*entry, process, vm))
            });
            let used: u32 = used.sum();
            prop_assert!(used <= *slots, "{used} of {slots} slots of {name}");
        }
        let generations = self.written.windows(2);
        let mut generations = generations.map(|pair| (pair[0].generation, pair[1].generation));
        prop_assert!(generations.all(|(before, after)| before < after));
        Ok(())
    }

    fn round(&mut self) {
        for entry in 0..ENTRIES {
            self.deliver(entry, 0);
            self.report(entry);
        }
        let alive = self.processes.keys().map(|entry| 1_u8 << entry);
        let alive: u8 = alive.sum();
        self.decide(alive | 0xf0, 0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn next_roster_any_history(steps in steps()) {
        let mut history = History::default();
        for step in &steps {
            history.apply(step);
            history.check()?;
        }
    }

    /// Once all running processes report and the platform no longer lists the others, the
    /// shares add up to all slots.
    #[test]
    fn next_roster_calm(steps in steps()) {
        let mut history = History::default();
        for step in &steps {
            history.apply(step);
        }
        history.start(0);
        for _ in 0..6 {
            for process in history.processes.values_mut() {
                process.in_use.clear();
            }
            history.round();
            history.check()?;
        }
        history.round();
        for (vm, (_, slots)) in VMS.iter().enumerate() {
            let processes = history.processes.iter();
            let shares = processes.map(|(entry, process)| share_of(*entry, process, vm));
            prop_assert_eq!(shares.sum::<u32>(), *slots);
        }
    }
}
