//! Admission and dispatch under bursts, and ways of sharing slots among the entry
//! VMs of a data centre.
//!
//! `cargo bench --bench dispatch`. Event-driven over the decisions, with fixed
//! seeds. Each pool of both first users asks for two fifths of what it holds,
//! then for five times as much during [`BURST`], then for a twentieth. Refused
//! callers come back once, when they were told to.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use chicorygauge::decide::dispatch::DispatchAction;
use chicorygauge::decide::dispatch::DispatchState;
use chicorygauge::decide::dispatch::SlotRequest;
use chicorygauge::decide::dispatch::VmTarget;
use chicorygauge::decide::slots::equal_share;
use chicorygauge::names::PoolName;
use chicorygauge::names::VmName;
use chicorygauge::request::RequestClass;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SLOTS: u32 = 8;
/// Workers of the five pools.
const POOLS: [usize; 5] = [9, 9, 11, 12, 8];
/// Entry VMs of the three data centres.
const ENTRIES: [usize; 3] = [3, 3, 2];
const WARM: Duration = Duration::from_secs(5);
const BURST: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(8);
const MEAN_LOAD: f64 = 0.4;
const DEADLINE: Duration = Duration::from_secs(2);
/// One way between two machines of a data centre.
const HOP: Duration = Duration::from_micros(200);
const TICK: Duration = Duration::from_millis(20);
/// Time between two exchanges of counts or credits.
const EXCHANGE: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug, PartialEq)]
enum SharingWay {
    Equal,
    Lent,
    Counts,
    Owner,
    Overflow,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive { entry: usize, id: usize },
    Start { vm: usize, id: usize },
    Finish { vm: usize, id: usize },
    Tick,
    Exchange,
}

#[derive(Clone, Debug)]
struct Call {
    class: RequestClass,
    entry: usize,
    /// Entry VM that the caller asked, if it passed the request on.
    forwarded: Option<usize>,
    returned: bool,
    arrived: Duration,
    deadline: Duration,
    service: Duration,
}

#[derive(Clone, Debug, Default)]
struct Figures {
    capacity: f64,
    useful: f64,
    late: u64,
    over_slots: u64,
    messages: u64,
    calls: u64,
    refused: u64,
    urgent_wait: Duration,
    /// Time from the end of the burst to the last first call that was refused or
    /// waited longer than one mean service time.
    normal: Duration,
    /// Time from the end of the burst until nothing waits for the first time.
    cleared: Option<Duration>,
    service: Duration,
    /// Most refused callers that come back in one tenth of a second, over the
    /// mean of the seconds in which they do.
    returns: BTreeMap<u64, u64>,
}

struct Sim {
    way: SharingWay,
    rng: StdRng,
    now: Duration,
    sequence: u64,
    events: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    pending: Vec<Event>,
    calls: Vec<Call>,
    entries: Vec<DispatchState>,
    /// Slots in use by VM and entry VM, as the entry VMs count them.
    shares: Vec<Vec<u32>>,
    running: Vec<u32>,
    /// Time until which an entry VM passes nothing on to another, by both.
    blocked: Vec<Vec<Duration>>,
    figures: Figures,
}

fn pool() -> PoolName {
    PoolName::new("pool").expect("name")
}

fn vm_name(vm: usize) -> VmName {
    VmName::new(&format!("vm-{vm:03}")).expect("name")
}

fn vm_index(vm: &VmName) -> usize {
    vm.as_str()[3..].parse().expect("number")
}

fn target(vm: usize, share: u32) -> VmTarget {
    VmTarget {
        name: vm_name(vm),
        pool: pool(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        share,
        schedulable: true,
    }
}

impl Sim {
    fn new(way: SharingWay, vms: usize, entries: usize, seed: u64) -> Self {
        let mut states: Vec<_> = (0..entries).map(|_| DispatchState::default()).collect();
        let mut shares = vec![vec![0; entries]; vms];
        for (entry, state) in states.iter_mut().enumerate() {
            state.set_pools([(&pool(), 1024)]);
            for (vm, shares) in shares.iter_mut().enumerate() {
                shares[entry] = match way {
                    SharingWay::Owner => SLOTS * u32::from(entry == 0),
                    SharingWay::Counts => SLOTS,
                    _ => equal_share(SLOTS, entries as u32, entry as u32, vm as u32),
                };
            }
        }
        let mut sim = Self {
            way,
            rng: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            sequence: 0,
            events: BinaryHeap::new(),
            pending: Vec::new(),
            calls: Vec::new(),
            entries: states,
            shares,
            running: vec![0; vms],
            blocked: vec![vec![Duration::ZERO; entries]; entries],
            figures: Figures::default(),
        };
        for entry in 0..entries {
            sim.set_shares(entry);
        }
        sim
    }

    fn push(&mut self, time: Duration, event: Event) {
        self.sequence += 1;
        self.pending.push(event);
        self.events
            .push(Reverse((time, self.sequence, self.pending.len() - 1)));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    /// Lays out the callers' requests.
    fn load(&mut self, service: Duration, weights: &[f64]) {
        let slots = SLOTS * self.running.len() as u32;
        let rate = f64::from(slots) / service.as_secs_f64() * MEAN_LOAD;
        let phases = [(WARM, rate), (BURST, rate * 5.0), (AFTER, rate / 20.0)];
        let mut start = Duration::ZERO;
        for (length, rate) in phases {
            let mut time = start.as_secs_f64();
            start += length;
            loop {
                time += self.exponential(1.0 / rate);
                if time >= start.as_secs_f64() {
                    break;
                }
                self.add_call(Duration::from_secs_f64(time), service, weights);
            }
        }
        self.figures.service = service;
        self.figures.calls = self.calls.len() as u64;
    }

    fn add_call(&mut self, time: Duration, service: Duration, weights: &[f64]) {
        let mut point = self.rng.random::<f64>();
        let entry = weights.iter().position(|weight| {
            point -= weight;
            point < 0.0
        });
        let class = match self.rng.random_range(0..10) {
            0 => RequestClass::Urgent,
            1 | 2 => RequestClass::Batch,
            _ => RequestClass::Ordinary,
        };
        let entry = entry.unwrap_or(0);
        let service = Duration::from_secs_f64(self.exponential(service.as_secs_f64()));
        let id = self.calls.len();
        self.calls.push(Call {
            class,
            entry,
            forwarded: None,
            returned: false,
            arrived: time,
            deadline: time + DEADLINE,
            service,
        });
        self.push(time, Event::Arrive { entry, id });
    }

    fn run(mut self) -> Figures {
        let end = WARM + BURST + AFTER;
        self.push(TICK, Event::Tick);
        self.push(EXCHANGE, Event::Exchange);
        while let Some(Reverse((time, _, place))) = self.events.pop() {
            if time > end {
                break;
            }
            self.now = time;
            let after = time.checked_sub(WARM + BURST);
            if let (Some(after), None) = (after, self.figures.cleared) {
                let waiting = self
                    .entries
                    .iter()
                    .any(|entry| entry.queue_len(&pool()) > 0);
                self.figures.cleared = (!waiting).then_some(after);
            }
            match self.pending[place] {
                Event::Arrive { entry, id } => self.arrive(entry, id),
                Event::Start { vm, id } => self.start(vm, id),
                Event::Finish { vm, id } => self.finish(vm, id),
                Event::Tick => {
                    for entry in 0..self.entries.len() {
                        let actions = self.entries[entry].tick(time);
                        self.carry_out(entry, actions);
                    }
                    self.push(time + TICK, Event::Tick);
                }
                Event::Exchange => {
                    self.exchange();
                    self.push(time + EXCHANGE, Event::Exchange);
                }
            }
        }
        let slots = f64::from(SLOTS) * self.running.len() as f64;
        self.figures.capacity = slots * BURST.as_secs_f64();
        self.figures
    }

    fn arrive(&mut self, entry: usize, id: usize) {
        let call = &mut self.calls[id];
        if self.way == SharingWay::Owner && entry != 0 {
            call.forwarded = Some(entry);
            self.figures.messages += 2;
            return self.push(self.now + HOP, Event::Arrive { entry: 0, id });
        }
        call.entry = entry;
        let request = SlotRequest {
            ticket: id as u64,
            pool: pool(),
            class: call.class,
            deadline: call.deadline,
            avoid: None,
            forwarded: self.way == SharingWay::Overflow && call.forwarded.is_some(),
        };
        let actions = self.entries[entry].submit(self.now, request);
        self.carry_out(entry, actions);
    }

    fn carry_out(&mut self, entry: usize, actions: Vec<DispatchAction>) {
        for action in actions {
            match action {
                DispatchAction::Grant { ticket, vm, .. } => {
                    let id = ticket as usize;
                    let call = self.calls[id].clone();
                    let wait = self.now - call.arrived;
                    if wait > self.figures.service {
                        self.note_disturbed(id);
                    }
                    if call.class == RequestClass::Urgent {
                        self.figures.urgent_wait = self.figures.urgent_wait.max(wait);
                    }
                    let vm = vm_index(&vm);
                    self.push(self.now + HOP, Event::Start { vm, id });
                }
                DispatchAction::Refuse {
                    ticket,
                    retry_after,
                    ..
                } => self.refuse(entry, ticket as usize, retry_after),
            }
        }
    }

    fn refuse(&mut self, entry: usize, id: usize, retry_after: Duration) {
        let origin = self.calls[id].forwarded.unwrap_or(entry);
        if origin != entry {
            self.blocked[origin][entry] = self.now + EXCHANGE;
        }
        let peers = (0..self.entries.len()).map(|step| (id + step) % self.entries.len());
        let mut peers = peers.filter(|peer| *peer != origin);
        let peer = peers.find(|peer| self.blocked[origin][*peer] <= self.now);
        let call = &mut self.calls[id];
        if let (SharingWay::Overflow, Some(peer)) = (self.way, peer) {
            call.forwarded = Some(origin);
            self.figures.messages += 2;
            return self.push(self.now + HOP, Event::Arrive { entry: peer, id });
        }
        self.figures.refused += 1;
        self.note_disturbed(id);
        let call = &mut self.calls[id];
        if call.returned {
            return;
        }
        call.returned = true;
        call.forwarded = None;
        call.arrived = self.now + retry_after;
        call.deadline = call.arrived + DEADLINE;
        let (time, entry) = (call.arrived, origin);
        *self
            .figures
            .returns
            .entry(time.as_millis() as u64 / 100)
            .or_default() += 1;
        self.push(time, Event::Arrive { entry, id });
    }

    /// Notes that a first call after the burst was refused or waited long.
    fn note_disturbed(&mut self, id: usize) {
        let call = &self.calls[id];
        let after = call.arrived.saturating_sub(WARM + BURST);
        if !call.returned {
            self.figures.normal = self.figures.normal.max(after);
        }
    }

    fn start(&mut self, vm: usize, id: usize) {
        if self.running[vm] >= SLOTS {
            // The backend server refuses it as not run; it is sent again.
            self.figures.over_slots += 1;
            let entry = self.calls[id].entry;
            let actions = self.entries[entry].finish(self.now + HOP, &vm_name(vm), None);
            self.carry_out(entry, actions);
            return self.push(self.now + HOP, Event::Arrive { entry, id });
        }
        self.running[vm] += 1;
        let call = &self.calls[id];
        let back = HOP * (1 + u32::from(call.forwarded.is_some()));
        let end = self.now + call.service;
        if end + back > call.deadline {
            self.figures.late += 1;
        } else {
            let from = self.now.max(WARM);
            let to = end.min(WARM + BURST);
            self.figures.useful += to.saturating_sub(from).as_secs_f64();
        }
        self.push(end, Event::Finish { vm, id });
    }

    fn finish(&mut self, vm: usize, id: usize) {
        self.running[vm] -= 1;
        let call = &self.calls[id];
        let (entry, service) = (call.entry, call.service + HOP * 2);
        // The entry VM learns of the end one hop later; its slot is free from then on.
        self.now += HOP;
        let actions = self.entries[entry].finish(self.now, &vm_name(vm), Some(service));
        self.carry_out(entry, actions);
        self.now -= HOP;
    }

    fn in_use(&self, entry: usize, vm: usize) -> u32 {
        self.entries[entry].in_use(&vm_name(vm))
    }

    fn exchange(&mut self) {
        let entries = self.entries.len();
        let vms = self.running.len();
        match self.way {
            SharingWay::Equal | SharingWay::Owner | SharingWay::Overflow => return,
            SharingWay::Counts => {
                for vm in 0..vms {
                    let in_use: Vec<_> = (0..entries).map(|e| self.in_use(e, vm)).collect();
                    let all: u32 = in_use.iter().sum();
                    for (entry, own) in in_use.iter().enumerate() {
                        self.shares[vm][entry] = SLOTS.saturating_sub(all - own);
                    }
                }
            }
            SharingWay::Lent => self.lend(),
        }
        // Each tells each of the others.
        self.figures.messages += (entries * (entries - 1)) as u64;
        for entry in 0..entries {
            self.set_shares(entry);
        }
    }

    /// Moves credits towards the demand; a share grows only by what others do not use.
    fn lend(&mut self) {
        let demand = self.entries.iter().map(|entry| {
            let in_use: u32 = entry.in_use_by_vm().values().sum();
            f64::from(in_use + entry.queue_len(&pool()) as u32 + 1)
        });
        let demand: Vec<f64> = demand.collect();
        let total: f64 = demand.iter().sum();
        for vm in 0..self.running.len() {
            let wanted = demand.iter().map(|own| f64::from(SLOTS) * own / total);
            let wanted: Vec<u32> = wanted
                .map(|wanted| (wanted.round() as u32).max(1))
                .collect();
            let in_use: Vec<_> = (0..demand.len()).map(|e| self.in_use(e, vm)).collect();
            for (entry, share) in self.shares[vm].iter_mut().enumerate() {
                *share = (*share).min(wanted[entry]);
            }
            for (entry, wanted) in wanted.iter().enumerate() {
                let others = (0..demand.len()).filter(|other| *other != entry);
                let held = others.map(|other| self.shares[vm][other].max(in_use[other]));
                let free = SLOTS.saturating_sub(held.sum());
                self.shares[vm][entry] = (*wanted).min(free);
            }
        }
    }

    fn set_shares(&mut self, entry: usize) {
        let targets = (0..self.running.len()).map(|vm| target(vm, self.shares[vm][entry]));
        let targets: Vec<_> = targets.collect();
        let actions = self.entries[entry].set_vms(self.now, targets);
        self.carry_out(entry, actions);
    }
}

fn sum(figures: &[Figures]) -> String {
    let total = |of: fn(&Figures) -> f64| figures.iter().map(of).sum::<f64>();
    let most = |of: fn(&Figures) -> f64| figures.iter().map(of).fold(0.0, f64::max);
    let share = |figures: &Figures| figures.useful / figures.capacity;
    let worst = figures.iter().map(share).fold(f64::MAX, f64::min);
    let calls = total(|f| f.calls as f64);
    let peak = |figures: &Figures| {
        let most = figures.returns.values().max().copied().unwrap_or(0) as f64;
        let tenths = figures.returns.len().max(1) as f64;
        most / (figures.returns.values().sum::<u64>().max(1) as f64 / tenths)
    };
    format!(
        "goodput={:.3} worst_pool={worst:.3} idle_or_wasted={:.3} late={:.4} over_slots={} \
         refused={:.3} urgent_wait_ms={:.0} cleared_over_service={:.1} normal_over_service={:.1} messages_per_call={:.2} \
         return_peak_over_mean={:.1}",
        total(|f| f.useful) / total(|f| f.capacity),
        1.0 - total(|f| f.useful) / total(|f| f.capacity),
        total(|f| f.late as f64) / calls,
        total(|f| f.over_slots as f64),
        total(|f| f.refused as f64) / calls,
        most(|f| f.urgent_wait.as_secs_f64() * 1000.0),
        most(|f| f.cleared.unwrap_or(AFTER).as_secs_f64() / f.service.as_secs_f64()),
        most(|f| f.normal.as_secs_f64() / f.service.as_secs_f64()),
        total(|f| f.messages as f64) / calls,
        figures.iter().map(peak).fold(0.0, f64::max),
    )
}

fn sharing() {
    let ways = [
        SharingWay::Equal,
        SharingWay::Lent,
        SharingWay::Counts,
        SharingWay::Owner,
        SharingWay::Overflow,
    ];
    let deployments = [
        ("evasapu", Duration::from_millis(50)),
        ("nilebench", Duration::from_millis(200)),
    ];
    for (deployment, service) in deployments {
        for skewed in [false, true] {
            for way in ways {
                let mut figures = Vec::new();
                for (number, workers) in POOLS.into_iter().enumerate() {
                    for (dc, entries) in ENTRIES.into_iter().enumerate() {
                        let vms = (workers + 2 - dc) / 3;
                        let even = vec![1.0 / entries as f64; entries];
                        let skew = if entries == 3 {
                            vec![0.7, 0.2, 0.1]
                        } else {
                            vec![0.8, 0.2]
                        };
                        let weights = if skewed { skew } else { even };
                        let mut sim = Sim::new(way, vms, entries, (number * 3 + dc) as u64);
                        sim.load(service, &weights);
                        figures.push(sim.run());
                    }
                }
                let balancer = if skewed { "skewed" } else { "even" };
                println!(
                    "{deployment} balancer={balancer} way={way:?} {}",
                    sum(&figures)
                );
            }
        }
    }
}

/// Measures one arrival with its end, at 300 VMs of one data centre.
fn decision_cost() {
    for vms in [30, 100, 300] {
        let mut state = DispatchState::default();
        state.set_pools([(&pool(), 1024)]);
        state.set_vms(Duration::ZERO, (0..vms).map(|vm| target(vm, 3)));
        for backlog in [0, 1000] {
            let mut ticket = 0;
            let mut arrive = |state: &mut DispatchState, now| {
                ticket += 1;
                let request = SlotRequest {
                    ticket,
                    pool: pool(),
                    class: RequestClass::Ordinary,
                    deadline: now + Duration::from_secs(600),
                    avoid: None,
                    forwarded: false,
                };
                state.submit(now, request)
            };
            let fill = if backlog == 0 { vms } else { vms * 3 + backlog };
            for _ in 0..fill {
                arrive(&mut state, Duration::ZERO);
            }
            let rounds = 200_000;
            let start = Instant::now();
            for round in 0..rounds {
                let now = Duration::from_micros(round);
                state.finish(
                    now,
                    &vm_name(round as usize % vms),
                    Some(Duration::from_micros(1)),
                );
                arrive(&mut state, now);
            }
            let cost = start.elapsed() / rounds as u32;
            println!(
                "decision vms={vms} backlog={backlog} cost_ns={}",
                cost.as_nanos()
            );
        }
    }
}

fn main() {
    sharing();
    decision_cost();
}
