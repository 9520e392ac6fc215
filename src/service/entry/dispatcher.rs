//! The task that owns queues, slots, health and idle connections.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use crate::config::FleetConfig;
use crate::config::wire::DEFAULT_SLOTS;
use crate::decide::dispatch::DispatchAction;
use crate::decide::dispatch::DispatchState;
use crate::decide::dispatch::SlotRequest;
use crate::decide::dispatch::TicketId;
use crate::decide::dispatch::VmTarget;
use crate::decide::health::EjectedVm;
use crate::decide::health::FailureCause;
use crate::decide::health::HealthState;
use crate::decide::health::HealthView;
use crate::decide::retry::RetryBudget;
use crate::fleet::FleetRecord;
use crate::metrics::EJECTED_VMS;
use crate::metrics::EJECTIONS;
use crate::names::PoolName;
use crate::names::VmName;
use crate::peer::EntryAck;
use crate::peer::PeerState;
use crate::request::RefuseReason;
use crate::service::config::ConfigView;
use crate::service::entry::exchange::BackendConnection;
use crate::service::entry::inbox::DispatchMessage;
use crate::service::entry::inbox::STATE_RETRY_AFTER;
use crate::service::entry::inbox::SlotAnswer;
use crate::service::entry::inbox::SlotGrant;
use crate::service::entry::inbox::SlotRefusal;
use crate::service::entry::inbox::SlotReport;
use crate::service::fleet::FleetView;
use crate::service::peers::PeerView;
use crate::settings::ControlPeriods;

/// Time between two passes over the queues.
///
/// A request that can no longer be met is refused within it. Its deadline itself
/// is kept exactly, by the task that waits for the slot.
const TICK: Duration = Duration::from_millis(20);
/// Most messages that are taken before the views are looked at again.
const MAX_BATCH: usize = 64;
/// Most idle connections kept to one VM.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// VMs that are ejected or on trial at this entry VM.
pub type EjectionMap = BTreeMap<VmName, EjectedVm>;
/// View of the VMs that are ejected or on trial at this entry VM.
pub type EjectionView = watch::Receiver<Arc<EjectionMap>>;

/// What the dispatcher is started with.
pub(super) struct DispatchParts {
    pub messages: mpsc::UnboundedReceiver<DispatchMessage>,
    /// Its own inbox, by which slots come back.
    pub inbox: mpsc::WeakUnboundedSender<DispatchMessage>,
    pub config: ConfigView,
    pub fleet: FleetView,
    pub peers: PeerView,
    pub ejections: watch::Sender<Arc<EjectionMap>>,
    pub periods: ControlPeriods,
    pub started: Instant,
}

/// Runs until all senders are gone.
pub(super) async fn run(parts: DispatchParts) {
    let mut messages = parts.messages;
    let (mut config, mut fleet, mut peers) = (parts.config, parts.fleet, parts.peers);
    let mut dispatcher = Dispatcher {
        config: config.clone(),
        fleet: fleet.clone(),
        peers: peers.clone(),
        inbox: parts.inbox,
        ejections: parts.ejections,
        periods: parts.periods,
        started: parts.started,
        state: DispatchState::default(),
        health: HealthState::default(),
        retries: RetryBudget::default(),
        pool_sizes: BTreeMap::new(),
        ack: EntryAck::default(),
        has_state: false,
        last_tick: parts.started.elapsed(),
        hold_until: Duration::ZERO,
        replies: HashMap::new(),
        idle: HashMap::new(),
    };
    dispatcher.renew();
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            Ok(()) = config.changed() => dispatcher.renew(),
            Ok(()) = fleet.changed() => dispatcher.renew(),
            Ok(()) = peers.changed() => dispatcher.renew(),
            _ = ticks.tick() => dispatcher.tick(),
            message = messages.recv() => match message {
                Some(message) => dispatcher.take_batch(message, &mut messages),
                None => return,
            },
        }
    }
}

struct Dispatcher {
    config: ConfigView,
    fleet: FleetView,
    peers: PeerView,
    inbox: mpsc::WeakUnboundedSender<DispatchMessage>,
    ejections: watch::Sender<Arc<EjectionMap>>,
    periods: ControlPeriods,
    started: Instant,
    state: DispatchState,
    health: HealthState,
    retries: RetryBudget,
    /// VMs that take work, by pool.
    pool_sizes: BTreeMap<PoolName, usize>,
    ack: EntryAck,
    has_state: bool,
    last_tick: Duration,
    /// After a pause of the process nothing is granted until then.
    hold_until: Duration,
    replies: HashMap<TicketId, oneshot::Sender<SlotAnswer>>,
    idle: HashMap<VmName, Vec<BackendConnection>>,
}

impl Dispatcher {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Takes configuration, fleet record, membership and health in force.
    fn renew(&mut self) {
        let config = self.config.borrow().clone();
        let peers = self.peers.borrow().clone();
        let pools = config.config.pools.iter();
        let pools = pools.map(|(name, pool)| (name, pool.queue_limit));
        let mut actions = self.state.set_pools(pools);
        let known = &config.config.pools;
        self.retries.retain(|pool| known.contains_key(pool));
        let record = self.fleet.borrow().clone();
        self.has_state = config.version > 0 && peers.trusted && record.is_some();
        self.ack.generation = peers.generation;
        if let Some(record) = record {
            self.ack.config_version = config.version;
            self.ack.fleet_sequence = record.sequence;
            self.idle.retain(|vm, _| record.vms.contains_key(vm));
            self.pool_sizes = pool_sizes(&record);
            let pool_of = |vm: &VmName| record.vms.get(vm).map(|vm| vm.pool.clone());
            self.health.retain(pool_of);
            let targets = targets(&record, &config.config, &peers, &self.health);
            actions.extend(self.state.set_vms(self.now(), targets));
        }
        if !self.has_state {
            let refused = self
                .state
                .refuse_all(RefuseReason::NoState, STATE_RETRY_AFTER);
            actions.extend(refused);
        }
        self.publish_ejections();
        self.carry_out(actions);
    }

    fn tick(&mut self) {
        let now = self.now();
        let pause = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if pause > self.periods.pause_limit {
            log::warn!(event = "process_paused", pause_ms = pause.as_millis() as u64; "");
            self.hold_until = now + self.periods.sync;
            let actions = self
                .state
                .refuse_all(RefuseReason::NoState, STATE_RETRY_AFTER);
            self.carry_out(actions);
        }
        if self.health.tick(now) {
            self.renew();
        }
        let actions = self.state.tick(now);
        self.carry_out(actions);
    }

    /// Takes what is in the channel, up to a limit, without looking at the views
    /// in between.
    fn take_batch(
        &mut self,
        first: DispatchMessage,
        messages: &mut mpsc::UnboundedReceiver<DispatchMessage>,
    ) {
        self.take(first);
        for _ in 1..MAX_BATCH {
            let Ok(message) = messages.try_recv() else {
                return;
            };
            self.take(message);
        }
    }

    fn take(&mut self, message: DispatchMessage) {
        let now = self.now();
        match message {
            DispatchMessage::Arrive {
                request,
                resend,
                reply,
            } => self.arrive(now, request, resend, reply),
            DispatchMessage::Cancel { request } => {
                self.replies.remove(&request.ticket);
                self.state.cancel(&request);
            }
            DispatchMessage::Finish {
                vm,
                report,
                connection,
            } => self.finish(now, &vm, &report, connection),
            DispatchMessage::Withdraw { pool, reply } => {
                // A caller that has gone sends nothing.
                let _ = reply.send(self.retries.withdraw(&pool));
            }
            DispatchMessage::Report { reply } => {
                // A peer that has given up needs no answer.
                let _ = reply.send(EntryAck {
                    in_use: self.state.all_in_use(),
                    ..self.ack.clone()
                });
            }
        }
    }

    fn arrive(
        &mut self,
        now: Duration,
        request: SlotRequest,
        resend: bool,
        reply: oneshot::Sender<SlotAnswer>,
    ) {
        // The views are read here too, as their change may wait behind this message.
        let trusted = self.peers.borrow().trusted;
        if !self.has_state || !trusted || now < self.hold_until {
            // A caller that has gone needs no answer.
            let _ = reply.send(Err(SlotRefusal {
                reason: RefuseReason::NoState,
                retry_after: STATE_RETRY_AFTER,
            }));
            return;
        }
        if !resend {
            self.retries.deposit(&request.pool);
        }
        self.replies.insert(request.ticket, reply);
        let actions = self.state.arrive(now, request);
        self.carry_out(actions);
    }

    fn finish(
        &mut self,
        now: Duration,
        vm: &VmName,
        report: &SlotReport,
        connection: Option<BackendConnection>,
    ) {
        self.keep(vm, connection);
        let actions = self.state.finish(now, vm, report.service_time);
        let changed = match report.health {
            None => false,
            Some(Ok(())) => self.health.succeed(vm),
            Some(Err(cause)) => self.count_failure(now, vm, cause),
        };
        self.carry_out(actions);
        if changed {
            self.renew();
        }
    }

    fn count_failure(&mut self, now: Duration, vm: &VmName, cause: FailureCause) -> bool {
        let record = self.fleet.borrow().clone();
        let Some(record) = record.as_ref().and_then(|record| record.vms.get(vm)) else {
            return false;
        };
        let view = HealthView {
            vm,
            pool: &record.pool,
            pool_size: self.pool_sizes.get(&record.pool).copied().unwrap_or(0),
        };
        let changed = self.health.fail(now, view, cause);
        if changed {
            log::warn!(event = "vm_ejected", vm:% = vm, pool:% = record.pool, cause:% = cause; "");
            let labels = [
                ("pool", record.pool.to_string()),
                ("cause", cause.to_string()),
            ];
            metrics::counter!(EJECTIONS, &labels).increment(1);
        }
        changed
    }

    fn publish_ejections(&mut self) {
        let ejected = self.health.ejected();
        let changed = self.ejections.send_if_modified(|current| {
            let changed = **current != *ejected;
            if changed {
                *current = Arc::new(ejected.clone());
            }
            changed
        });
        if changed {
            metrics::gauge!(EJECTED_VMS).set(ejected.len() as f64);
        }
    }

    fn keep(&mut self, vm: &VmName, connection: Option<BackendConnection>) {
        let Some(connection) = connection else {
            return;
        };
        let idle = self.idle.entry(vm.clone()).or_default();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    fn carry_out(&mut self, actions: Vec<DispatchAction>) {
        for action in actions {
            match action {
                DispatchAction::Grant {
                    ticket,
                    vm,
                    address,
                } => self.grant(ticket, vm, address),
                DispatchAction::Refuse {
                    ticket,
                    reason,
                    retry_after,
                } => self.refuse(ticket, reason, retry_after),
            }
        }
    }

    fn grant(&mut self, ticket: TicketId, vm: VmName, address: SocketAddr) {
        let Some(sender) = self.inbox.upgrade() else {
            return;
        };
        let grant = SlotGrant {
            connection: self.idle.get_mut(&vm).and_then(Vec::pop),
            vm,
            address,
            granted: Instant::now(),
            report: SlotReport::default(),
            sender,
        };
        if let Some(reply) = self.replies.remove(&ticket) {
            // If the caller has gone, the grant is dropped and the slot comes back.
            let _ = reply.send(Ok(grant));
        }
    }

    fn refuse(&mut self, ticket: TicketId, reason: RefuseReason, retry_after: Duration) {
        if let Some(reply) = self.replies.remove(&ticket) {
            // A caller that has gone needs no answer.
            let _ = reply.send(Err(SlotRefusal {
                reason,
                retry_after,
            }));
        }
    }
}

fn pool_sizes(record: &FleetRecord) -> BTreeMap<PoolName, usize> {
    let mut sizes = BTreeMap::new();
    let serving = record.vms.values().filter(|vm| vm.state.takes_work());
    for vm in serving {
        *sizes.entry(vm.pool.clone()).or_default() += 1;
    }
    sizes
}

fn targets(
    record: &FleetRecord,
    config: &FleetConfig,
    peers: &PeerState,
    health: &HealthState,
) -> Vec<VmTarget> {
    let targets = record.vms.iter().map(|(name, vm)| {
        let pool = config.pools.get(&vm.pool);
        let slots = pool.map_or(DEFAULT_SLOTS, |pool| pool.slots);
        let share = peers.share_of(name, slots);
        VmTarget {
            name: name.clone(),
            pool: vm.pool.clone(),
            address: vm.address,
            share: health.allowed(name, share),
            takes_work: vm.state.takes_work(),
        }
    });
    targets.collect()
}
