//! The task that owns queues, slots, health and idle connections.

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

use crate::decide::dispatch::DispatchAction;
use crate::decide::dispatch::DispatchState;
use crate::decide::dispatch::SlotRequest;
use crate::decide::dispatch::TicketId;
use crate::decide::forward::ForwardState;
use crate::decide::forward::RefusedRequest;
use crate::decide::retry::RetryBudget;
use crate::names::EntryName;
use crate::names::VmName;
use crate::peer::EntryAck;
use crate::request::RefuseReason;
use crate::service::config::ConfigView;
use crate::service::entry::exchange::BackendConnection;
use crate::service::entry::health::EjectionMap;
use crate::service::entry::health::HealthKeeper;
use crate::service::entry::inbox::DispatchMessage;
use crate::service::entry::inbox::ForwardTarget;
use crate::service::entry::inbox::STATE_RETRY_AFTER;
use crate::service::entry::inbox::SlotAnswer;
use crate::service::entry::inbox::SlotGrant;
use crate::service::entry::inbox::SlotRefusal;
use crate::service::entry::inbox::SlotReport;
use crate::service::entry::targets::targets;
use crate::service::fleet::FleetView;
use crate::service::peers::PeerView;
use crate::settings::ControlPeriods;

/// Time between two passes over the queues.
///
/// A request that can no longer be met is refused within it. Its deadline itself
/// is kept exactly, by the task that waits for the slot.
const TICK: Duration = Duration::from_millis(20);
/// Answer while there is no state that may be acted on.
const NO_STATE: SlotRefusal = SlotRefusal {
    reason: RefuseReason::NoState,
    retry_after: STATE_RETRY_AFTER,
};
/// Most messages that are taken before the views are looked at again.
const MAX_BATCH: usize = 64;
/// Most idle connections kept to one VM.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// What the dispatcher is started with.
pub(super) struct DispatchParts {
    pub messages: mpsc::UnboundedReceiver<DispatchMessage>,
    /// Its own inbox, by which slots come back.
    pub inbox: mpsc::WeakUnboundedSender<DispatchMessage>,
    pub config: ConfigView,
    pub fleet: FleetView,
    pub peers: PeerView,
    pub ejections: watch::Sender<Arc<EjectionMap>>,
    pub name: EntryName,
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
        name: parts.name,
        periods: parts.periods,
        started: parts.started,
        state: DispatchState::default(),
        health: HealthKeeper::new(parts.ejections),
        retries: RetryBudget::default(),
        ack: EntryAck::default(),
        has_state: false,
        last_tick: parts.started.elapsed(),
        hold_until: Duration::ZERO,
        replies: HashMap::new(),
        idle: HashMap::new(),
        forwards: ForwardState::default(),
        peer_idle: HashMap::new(),
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
    name: EntryName,
    periods: ControlPeriods,
    started: Instant,
    state: DispatchState,
    health: HealthKeeper,
    retries: RetryBudget,
    ack: EntryAck,
    has_state: bool,
    last_tick: Duration,
    /// After a pause of the process nothing is granted until then.
    hold_until: Duration,
    replies: HashMap<TicketId, oneshot::Sender<SlotAnswer>>,
    idle: HashMap<VmName, Vec<BackendConnection>>,
    forwards: ForwardState,
    /// Idle connections to other entry VMs.
    peer_idle: HashMap<SocketAddr, Vec<BackendConnection>>,
}

impl Dispatcher {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Tells whether the state in force may be acted on.
    ///
    /// The view and the clock are read each time, as a change or a pause of the
    /// process may not have been noticed yet.
    fn is_ready(&self) -> bool {
        let now = self.now();
        let paused = now.saturating_sub(self.last_tick) > self.periods.pause_limit;
        self.has_state && !paused && now >= self.hold_until && self.peers.borrow().trusted
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
            self.peer_idle.clear();
            self.health.renew(&record);
            let targets = targets(&record, &config.config, &peers, &self.health.state);
            actions.extend(self.state.set_vms(self.now(), targets));
        }
        if !self.has_state {
            let refused = self
                .state
                .refuse_all(RefuseReason::NoState, STATE_RETRY_AFTER);
            actions.extend(refused);
        }
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
        if self.health.state.tick(now) {
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
            DispatchMessage::ForwardTarget {
                pool,
                reason,
                tried,
                reply,
            } => {
                let request = RefusedRequest {
                    pool: &pool,
                    reason,
                    tried: &tried,
                };
                // A caller that has gone is passed on to nobody.
                let _ = reply.send(self.forward_target(now, request));
            }
            DispatchMessage::Forwarded {
                address,
                pool,
                connection,
                refused,
            } => {
                keep(self.peer_idle.entry(address).or_default(), connection);
                if refused {
                    self.forwards.block(now, address, &pool);
                }
            }
            DispatchMessage::Withdraw { pool, reply } => {
                // A caller that has gone sends nothing.
                let _ = reply.send(self.retries.withdraw(&pool));
            }
            DispatchMessage::Report { reply } => {
                // A peer that has given up needs no answer.
                let _ = reply.send(EntryAck {
                    in_use: self.state.in_use_by_vm(),
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
        if !self.is_ready() {
            // A caller that has gone needs no answer.
            let _ = reply.send(Err(NO_STATE));
            return;
        }
        if !resend {
            self.retries.deposit(&request.pool);
        }
        self.replies.insert(request.ticket, reply);
        let actions = self.state.submit(now, request);
        self.carry_out(actions);
    }

    fn finish(
        &mut self,
        now: Duration,
        vm: &VmName,
        report: &SlotReport,
        connection: Option<BackendConnection>,
    ) {
        keep(self.idle.entry(vm.clone()).or_default(), connection);
        let actions = self.state.finish(now, vm, report.service_time);
        let record = self.fleet.borrow().clone();
        let count = |end| self.health.count(now, record.as_deref(), vm, end);
        let changed = report.health.map(count).unwrap_or(false);
        self.carry_out(actions);
        if changed {
            self.renew();
        }
    }

    fn forward_target(
        &mut self,
        now: Duration,
        request: RefusedRequest<'_>,
    ) -> Option<ForwardTarget> {
        let peers = self.peers.borrow().clone();
        let address = self.forwards.choose(now, &peers, &self.name, request)?;
        Some(ForwardTarget {
            address,
            connection: self.peer_idle.get_mut(&address).and_then(Vec::pop),
        })
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
        if !self.is_ready() {
            // The grant is dropped and the slot comes back.
            self.refuse(ticket, NO_STATE.reason, NO_STATE.retry_after);
            return;
        }
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

/// Keeps a connection for the next use, up to a limit.
fn keep(idle: &mut Vec<BackendConnection>, connection: Option<BackendConnection>) {
    if idle.len() < MAX_IDLE_CONNECTIONS {
        idle.extend(connection);
    }
}
