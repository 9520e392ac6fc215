//! Simulates admission and dispatch under bursts and compares policies that share
//! the slots of a VM among the entry VMs of its data centre.
//!
//! `cargo bench --bench dispatch`. A discrete-event simulation calls the decisions,
//! with fixed seeds. The mean load of each pool of both first users is two fifths of
//! its capacity, then five times that load during [`BURST`], then a twentieth of it.
//! A refused caller retries once, after the delay that the entry VM states.

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

/// Requests that a VM runs at once.
const SLOTS: u32 = 8;
/// Workers of each of the five pools.
const POOLS: [usize; 5] = [9, 9, 11, 12, 8];
/// Entry VMs of each of the three data centres.
const ENTRIES: [usize; 3] = [3, 3, 2];
/// Length of the load before the burst.
const WARM_UP: Duration = Duration::from_secs(5);
const BURST: Duration = Duration::from_secs(5);
/// Length of the load after the burst.
const RECOVERY: Duration = Duration::from_secs(8);
/// Load before the burst, as a share of all slots.
const MEAN_LOAD: f64 = 0.4;
/// Time from the arrival of a request to its deadline.
const DEADLINE: Duration = Duration::from_secs(2);
/// One-way network delay between two machines of a data centre.
const NETWORK_DELAY: Duration = Duration::from_micros(200);
/// Time between two ticks of the dispatch decision.
const TICK: Duration = Duration::from_millis(20);
/// Time between two exchanges of slot counts or slot shares.
const EXCHANGE: Duration = Duration::from_millis(50);

/// How the entry VMs of a data centre share the slots of a VM.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SharingPolicy {
    /// Each entry VM has a fixed, equal share.
    Equal,
    /// Shares follow the demand of the entry VMs.
    Lent,
    /// Each entry VM uses the slots that the others last reported as unused.
    Counts,
    /// One entry VM has all slots; the others forward to it.
    Owner,
    /// Equal shares; a request that an entry VM refuses is forwarded to another.
    Overflow,
}

#[derive(Clone, Copy, Debug)]
enum SimEvent {
    /// A request reaches an entry VM.
    Arrive {
        entry: usize,
        id: usize,
    },
    /// A request reaches a backend server.
    Start {
        vm: usize,
        id: usize,
    },
    Finish {
        vm: usize,
        id: usize,
    },
    Tick,
    Exchange,
}

/// A caller's request; times are since the start of the simulation.
#[derive(Clone, Debug)]
struct SimRequest {
    class: RequestClass,
    /// Entry VM that handles the request.
    entry: usize,
    /// Entry VM to which the caller sent the request, if it forwarded the request.
    forwarded: Option<usize>,
    /// Whether the caller has retried after a refusal.
    retried: bool,
    arrived: Duration,
    deadline: Duration,
    /// Time for which the request occupies a slot.
    service: Duration,
}

/// Results of one pool in one data centre.
#[derive(Clone, Debug, Default)]
struct SimFigures {
    /// Slot-seconds available during the burst.
    capacity: f64,
    /// Slot-seconds spent during the burst on requests that met their deadline.
    useful: f64,
    /// Requests that ran and ended after their deadline.
    late: u64,
    /// Requests that reached a VM whose slots were all in use.
    over_slots: u64,
    /// Messages between entry VMs.
    messages: u64,
    calls: u64,
    refused: u64,
    /// Maximum time from the arrival of an urgent request to its grant.
    urgent_wait: Duration,
    /// Time from the end of the burst to the arrival of the last request, not counting
    /// retries, that was refused or waited longer than the mean service time.
    disturbed: Duration,
    /// Time from the end of the burst until all queues are empty for the first time.
    queues_empty: Option<Duration>,
    /// Mean service time.
    service: Duration,
    /// Number of retries by the tenth of a second in which they arrive.
    retries: BTreeMap<u64, u64>,
}

/// Simulation of one pool in one data centre.
struct DispatchSim {
    policy: SharingPolicy,
    rng: StdRng,
    now: Duration,
    /// Number of events so far; orders events of the same time.
    sequence: u64,
    /// Time, sequence and index in `pending` of each event to come.
    events: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    pending: Vec<SimEvent>,
    requests: Vec<SimRequest>,
    entries: Vec<DispatchState>,
    /// Slots that an entry VM may use at a VM, by VM and entry VM.
    shares: Vec<Vec<u32>>,
    /// Requests that run at each VM.
    running: Vec<u32>,
    /// Time until which an entry VM forwards nothing to another, by sender and receiver.
    blocked: Vec<Vec<Duration>>,
    figures: SimFigures,
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

impl DispatchSim {
    fn new(policy: SharingPolicy, vms: usize, entries: usize, seed: u64) -> Self {
        let mut states: Vec<_> = (0..entries).map(|_| DispatchState::default()).collect();
        let mut shares = vec![vec![0; entries]; vms];
        for (entry, state) in states.iter_mut().enumerate() {
            state.set_pools([(&pool(), 1024)]);
            for (vm, shares) in shares.iter_mut().enumerate() {
                shares[entry] = match policy {
                    SharingPolicy::Owner => SLOTS * u32::from(entry == 0),
                    SharingPolicy::Counts => SLOTS,
                    _ => equal_share(SLOTS, entries as u32, entry as u32, vm as u32),
                };
            }
        }
        let mut sim = Self {
            policy,
            rng: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            sequence: 0,
            events: BinaryHeap::new(),
            pending: Vec::new(),
            requests: Vec::new(),
            entries: states,
            shares,
            running: vec![0; vms],
            blocked: vec![vec![Duration::ZERO; entries]; entries],
            figures: SimFigures::default(),
        };
        for entry in 0..entries {
            sim.set_shares(entry);
        }
        sim
    }

    fn push(&mut self, time: Duration, event: SimEvent) {
        self.sequence += 1;
        self.pending.push(event);
        self.events
            .push(Reverse((time, self.sequence, self.pending.len() - 1)));
    }

    /// Draws from an exponential distribution.
    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    /// Adds the requests of all callers, before, during and after the burst. Arrivals are a
    /// Poisson process; `weights` are the entry VMs' shares of them.
    fn add_load(&mut self, service: Duration, weights: &[f64]) {
        let slots = SLOTS * self.running.len() as u32;
        let rate = f64::from(slots) / service.as_secs_f64() * MEAN_LOAD;
        let phases = [
            (WARM_UP, rate),
            (BURST, rate * 5.0),
            (RECOVERY, rate / 20.0),
        ];
        let mut start = Duration::ZERO;
        for (length, rate) in phases {
            let mut time = start.as_secs_f64();
            start += length;
            loop {
                time += self.exponential(1.0 / rate);
                if time >= start.as_secs_f64() {
                    break;
                }
                self.add_request(Duration::from_secs_f64(time), service, weights);
            }
        }
        self.figures.service = service;
        self.figures.calls = self.requests.len() as u64;
    }

    fn add_request(&mut self, time: Duration, service: Duration, weights: &[f64]) {
        let mut draw = self.rng.random::<f64>();
        let entry = weights.iter().position(|weight| {
            draw -= weight;
            draw < 0.0
        });
        let class = match self.rng.random_range(0..10) {
            0 => RequestClass::Urgent,
            1 | 2 => RequestClass::Batch,
            _ => RequestClass::Ordinary,
        };
        let entry = entry.unwrap_or(0);
        let service = Duration::from_secs_f64(self.exponential(service.as_secs_f64()));
        let id = self.requests.len();
        self.requests.push(SimRequest {
            class,
            entry,
            forwarded: None,
            retried: false,
            arrived: time,
            deadline: time + DEADLINE,
            service,
        });
        self.push(time, SimEvent::Arrive { entry, id });
    }

    fn run(mut self) -> SimFigures {
        let end = WARM_UP + BURST + RECOVERY;
        self.push(TICK, SimEvent::Tick);
        self.push(EXCHANGE, SimEvent::Exchange);
        while let Some(Reverse((time, _, index))) = self.events.pop() {
            if time > end {
                break;
            }
            self.now = time;
            let after = time.checked_sub(WARM_UP + BURST);
            if let (Some(after), None) = (after, self.figures.queues_empty) {
                let waiting = self
                    .entries
                    .iter()
                    .any(|entry| entry.queue_len(&pool()) > 0);
                self.figures.queues_empty = (!waiting).then_some(after);
            }
            match self.pending[index] {
                SimEvent::Arrive { entry, id } => self.arrive(entry, id),
                SimEvent::Start { vm, id } => self.start(vm, id),
                SimEvent::Finish { vm, id } => self.finish(vm, id),
                SimEvent::Tick => {
                    for entry in 0..self.entries.len() {
                        let actions = self.entries[entry].tick(time);
                        self.execute(entry, actions);
                    }
                    self.push(time + TICK, SimEvent::Tick);
                }
                SimEvent::Exchange => {
                    self.exchange();
                    self.push(time + EXCHANGE, SimEvent::Exchange);
                }
            }
        }
        let slots = f64::from(SLOTS) * self.running.len() as f64;
        self.figures.capacity = slots * BURST.as_secs_f64();
        self.figures
    }

    fn arrive(&mut self, entry: usize, id: usize) {
        let request = &mut self.requests[id];
        if self.policy == SharingPolicy::Owner && entry != 0 {
            request.forwarded = Some(entry);
            self.figures.messages += 2;
            return self.push(self.now + NETWORK_DELAY, SimEvent::Arrive { entry: 0, id });
        }
        request.entry = entry;
        let slot_request = SlotRequest {
            ticket: id as u64,
            pool: pool(),
            class: request.class,
            deadline: request.deadline,
            avoid: None,
            forwarded: self.policy == SharingPolicy::Overflow && request.forwarded.is_some(),
        };
        let actions = self.entries[entry].submit(self.now, slot_request);
        self.execute(entry, actions);
    }

    fn execute(&mut self, entry: usize, actions: Vec<DispatchAction>) {
        for action in actions {
            match action {
                DispatchAction::Grant { ticket, vm, .. } => {
                    let id = ticket as usize;
                    let request = self.requests[id].clone();
                    let wait = self.now - request.arrived;
                    if wait > self.figures.service {
                        self.record_disturbed(id);
                    }
                    if request.class == RequestClass::Urgent {
                        self.figures.urgent_wait = self.figures.urgent_wait.max(wait);
                    }
                    let vm = vm_index(&vm);
                    self.push(self.now + NETWORK_DELAY, SimEvent::Start { vm, id });
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
        let origin = self.requests[id].forwarded.unwrap_or(entry);
        if origin != entry {
            self.blocked[origin][entry] = self.now + EXCHANGE;
        }
        let peers = (0..self.entries.len()).map(|step| (id + step) % self.entries.len());
        let mut peers = peers.filter(|peer| *peer != origin);
        let peer = peers.find(|peer| self.blocked[origin][*peer] <= self.now);
        let request = &mut self.requests[id];
        if let (SharingPolicy::Overflow, Some(peer)) = (self.policy, peer) {
            request.forwarded = Some(origin);
            self.figures.messages += 2;
            return self.push(
                self.now + NETWORK_DELAY,
                SimEvent::Arrive { entry: peer, id },
            );
        }
        self.figures.refused += 1;
        self.record_disturbed(id);
        let request = &mut self.requests[id];
        if request.retried {
            return;
        }
        request.retried = true;
        request.forwarded = None;
        request.arrived = self.now + retry_after;
        request.deadline = request.arrived + DEADLINE;
        let (time, entry) = (request.arrived, origin);
        *self
            .figures
            .retries
            .entry(time.as_millis() as u64 / 100)
            .or_default() += 1;
        self.push(time, SimEvent::Arrive { entry, id });
    }

    /// Records that a request was refused or waited long; retries do not count.
    fn record_disturbed(&mut self, id: usize) {
        let request = &self.requests[id];
        let after = request.arrived.saturating_sub(WARM_UP + BURST);
        if !request.retried {
            self.figures.disturbed = self.figures.disturbed.max(after);
        }
    }

    fn start(&mut self, vm: usize, id: usize) {
        if self.running[vm] >= SLOTS {
            // The backend server rejects the request before it runs; the entry VM resends it.
            self.figures.over_slots += 1;
            let entry = self.requests[id].entry;
            let actions = self.entries[entry].finish(self.now + NETWORK_DELAY, &vm_name(vm), None);
            self.execute(entry, actions);
            return self.push(self.now + NETWORK_DELAY, SimEvent::Arrive { entry, id });
        }
        self.running[vm] += 1;
        let request = &self.requests[id];
        let back = NETWORK_DELAY * (1 + u32::from(request.forwarded.is_some()));
        let end = self.now + request.service;
        if end + back > request.deadline {
            self.figures.late += 1;
        } else {
            let from = self.now.max(WARM_UP);
            let to = end.min(WARM_UP + BURST);
            self.figures.useful += to.saturating_sub(from).as_secs_f64();
        }
        self.push(end, SimEvent::Finish { vm, id });
    }

    fn finish(&mut self, vm: usize, id: usize) {
        self.running[vm] -= 1;
        let request = &self.requests[id];
        let (entry, service) = (request.entry, request.service + NETWORK_DELAY * 2);
        // The entry VM receives the response one network delay later and then frees the slot.
        self.now += NETWORK_DELAY;
        let actions = self.entries[entry].finish(self.now, &vm_name(vm), Some(service));
        self.execute(entry, actions);
        self.now -= NETWORK_DELAY;
    }

    fn in_use(&self, entry: usize, vm: usize) -> u32 {
        self.entries[entry].in_use(&vm_name(vm))
    }

    fn exchange(&mut self) {
        let entries = self.entries.len();
        let vms = self.running.len();
        match self.policy {
            SharingPolicy::Equal | SharingPolicy::Owner | SharingPolicy::Overflow => return,
            SharingPolicy::Counts => {
                for vm in 0..vms {
                    let in_use: Vec<_> = (0..entries).map(|e| self.in_use(e, vm)).collect();
                    let all: u32 = in_use.iter().sum();
                    for (entry, own) in in_use.iter().enumerate() {
                        self.shares[vm][entry] = SLOTS.saturating_sub(all - own);
                    }
                }
            }
            SharingPolicy::Lent => self.move_shares(),
        }
        // Each entry VM sends one message to each of the others.
        self.figures.messages += (entries * (entries - 1)) as u64;
        for entry in 0..entries {
            self.set_shares(entry);
        }
    }

    /// Moves the shares of each VM's slots towards the demand of the entry VMs. A share
    /// grows only into slots that no other entry VM is assigned or still uses.
    fn move_shares(&mut self) {
        let demand = self.entries.iter().map(|entry| {
            let in_use: u32 = entry.in_use_by_vm().values().sum();
            f64::from(in_use + entry.queue_len(&pool()) as u32 + 1)
        });
        let demand: Vec<f64> = demand.collect();
        let total: f64 = demand.iter().sum();
        for vm in 0..self.running.len() {
            let target_shares = demand.iter().map(|own| f64::from(SLOTS) * own / total);
            let target_shares: Vec<u32> = target_shares
                .map(|wanted| (wanted.round() as u32).max(1))
                .collect();
            let in_use: Vec<_> = (0..demand.len()).map(|e| self.in_use(e, vm)).collect();
            for (entry, share) in self.shares[vm].iter_mut().enumerate() {
                *share = (*share).min(target_shares[entry]);
            }
            for (entry, wanted) in target_shares.iter().enumerate() {
                let others = (0..demand.len()).filter(|other| *other != entry);
                let taken = others.map(|other| self.shares[vm][other].max(in_use[other]));
                let free = SLOTS.saturating_sub(taken.sum());
                self.shares[vm][entry] = (*wanted).min(free);
            }
        }
    }

    fn set_shares(&mut self, entry: usize) {
        let targets = (0..self.running.len()).map(|vm| target(vm, self.shares[vm][entry]));
        let targets: Vec<_> = targets.collect();
        let actions = self.entries[entry].set_vms(self.now, targets);
        self.execute(entry, actions);
    }
}

/// Summarizes the results of all pools and data centres in one line.
fn summarize(figures: &[SimFigures]) -> String {
    let total = |of: fn(&SimFigures) -> f64| figures.iter().map(of).sum::<f64>();
    let max = |of: fn(&SimFigures) -> f64| figures.iter().map(of).fold(0.0, f64::max);
    let share = |figures: &SimFigures| figures.useful / figures.capacity;
    let worst = figures.iter().map(share).fold(f64::MAX, f64::min);
    let calls = total(|f| f.calls as f64);
    let peak = |figures: &SimFigures| {
        let max = figures.retries.values().max().copied().unwrap_or(0) as f64;
        let tenths = figures.retries.len().max(1) as f64;
        max / (figures.retries.values().sum::<u64>().max(1) as f64 / tenths)
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
        max(|f| f.urgent_wait.as_secs_f64() * 1000.0),
        max(|f| f.queues_empty.unwrap_or(RECOVERY).as_secs_f64() / f.service.as_secs_f64()),
        max(|f| f.disturbed.as_secs_f64() / f.service.as_secs_f64()),
        total(|f| f.messages as f64) / calls,
        figures.iter().map(peak).fold(0.0, f64::max),
    )
}

/// Runs every sharing policy with the loads of both first users.
fn compare_sharing() {
    let policies = [
        SharingPolicy::Equal,
        SharingPolicy::Lent,
        SharingPolicy::Counts,
        SharingPolicy::Owner,
        SharingPolicy::Overflow,
    ];
    let users = [
        ("evasapu", Duration::from_millis(50)),
        ("nilebench", Duration::from_millis(200)),
    ];
    for (user, service) in users {
        for skewed in [false, true] {
            for policy in policies {
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
                        let mut sim =
                            DispatchSim::new(policy, vms, entries, (number * 3 + dc) as u64);
                        sim.add_load(service, &weights);
                        figures.push(sim.run());
                    }
                }
                let balancer = if skewed { "skewed" } else { "even" };
                println!(
                    "{user} balancer={balancer} way={policy:?} {}",
                    summarize(&figures)
                );
            }
        }
    }
}

/// Measures the decision time to finish one request and submit another, by the number
/// of VMs in the data centre and of queued requests.
fn measure_decision() {
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
            let initial = if backlog == 0 { vms } else { vms * 3 + backlog };
            for _ in 0..initial {
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
    compare_sharing();
    measure_decision();
}
