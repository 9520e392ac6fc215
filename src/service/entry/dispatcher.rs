//! Dispatcher task: owns the queues, slots, backend health and idle connections.

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
use crate::service::entry::health::HealthTracker;
use crate::service::entry::inbox::DispatchMessage;
use crate::service::entry::inbox::ForwardTarget;
use crate::service::entry::inbox::STATE_RETRY_AFTER;
use crate::service::entry::inbox::SlotAnswer;
use crate::service::entry::inbox::SlotGrant;
use crate::service::entry::inbox::SlotRefusal;
use crate::service::entry::inbox::SlotReport;
use crate::service::entry::targets::vm_targets;
use crate::service::fleet::FleetView;
use crate::service::peers::PeerView;
use crate::settings::ControlPeriods;

/// Time between two scans of the queues for requests that can't meet their deadline.
///
/// Such a request is refused within this time. The deadline itself is enforced
/// exactly, by the task that waits for the slot.
const TICK_PERIOD: Duration = Duration::from_millis(20);
/// Refusal of requests while there is no configuration or fleet state to act on.
const NO_STATE: SlotRefusal = SlotRefusal {
    reason: RefuseReason::NoState,
    retry_after: STATE_RETRY_AFTER,
};
/// Maximum number of messages handled before the views are checked for changes.
const MAX_BATCH: usize = 64;
/// Maximum number of idle connections kept to one backend server or entry VM.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Channels, views and settings that the dispatcher is started with.
pub(super) struct DispatchParts {
    pub messages: mpsc::UnboundedReceiver<DispatchMessage>,
    /// Sender to the dispatcher itself, with which a dropped grant releases its slot;
    /// weak, so that the dispatcher ends when all other senders are gone.
    pub inbox: mpsc::WeakUnboundedSender<DispatchMessage>,
    pub config: ConfigView,
    pub fleet: FleetView,
    pub peers: PeerView,
    pub ejections: watch::Sender<Arc<EjectionMap>>,
    pub name: EntryName,
    pub periods: ControlPeriods,
    pub started: Instant,
}

/// Runs the dispatcher until all senders of messages are gone.
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
        health: HealthTracker::new(parts.ejections),
        retries: RetryBudget::default(),
        ack: EntryAck::default(),
        has_state: false,
        last_tick: parts.started.elapsed(),
        no_grants_until: Duration::ZERO,
        replies: HashMap::new(),
        idle_connections: HashMap::new(),
        forwards: ForwardState::default(),
        idle_peer_connections: HashMap::new(),
    };
    dispatcher.apply_views();
    let mut ticks = interval(TICK_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            Ok(()) = config.changed() => dispatcher.apply_views(),
            Ok(()) = fleet.changed() => dispatcher.apply_views(),
            Ok(()) = peers.changed() => dispatcher.apply_views(),
            _ = ticks.tick() => dispatcher.tick(),
            message = messages.recv() => match message {
                Some(message) => dispatcher.handle_batch(message, &mut messages),
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
    health: HealthTracker,
    retries: RetryBudget,
    ack: EntryAck,
    has_state: bool,
    last_tick: Duration,
    /// No slot is granted before this time; set one sync period ahead after a pause of
    /// the process, so that the state is renewed first.
    no_grants_until: Duration,
    /// Where to send the decisions on queued requests.
    replies: HashMap<TicketId, oneshot::Sender<SlotAnswer>>,
    /// Idle connections to backend servers.
    idle_connections: HashMap<VmName, Vec<BackendConnection>>,
    forwards: ForwardState,
    /// Idle connections to other entry VMs, by entry address.
    idle_peer_connections: HashMap<SocketAddr, Vec<BackendConnection>>,
}

impl Dispatcher {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns whether the state in force is recent enough to grant slots.
    ///
    /// This reads the peer view and the clock on each call, since the main loop may
    /// not have noticed a change of the view or a pause of the process yet.
    fn is_ready(&self) -> bool {
        let now = self.now();
        let paused = now.saturating_sub(self.last_tick) > self.periods.pause_limit;
        self.has_state && !paused && now >= self.no_grants_until && self.peers.borrow().trusted
    }

    /// Applies the current configuration, fleet record, membership and health.
    fn apply_views(&mut self) {
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
            self.idle_connections
                .retain(|vm, _| record.vms.contains_key(vm));
            self.idle_peer_connections.clear();
            self.health.apply_record(&record);
            let targets = vm_targets(&record, &config.config, &peers, &self.health.state);
            actions.extend(self.state.set_vms(self.now(), targets));
        }
        if !self.has_state {
            let refused = self
                .state
                .refuse_all(RefuseReason::NoState, STATE_RETRY_AFTER);
            actions.extend(refused);
        }
        self.execute(actions);
    }

    fn tick(&mut self) {
        let now = self.now();
        let pause = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        if pause > self.periods.pause_limit {
            log::warn!(event = "process_paused", pause_ms = pause.as_millis() as u64; "");
            self.no_grants_until = now + self.periods.sync;
            let actions = self
                .state
                .refuse_all(RefuseReason::NoState, STATE_RETRY_AFTER);
            self.execute(actions);
        }
        if self.health.state.tick(now) {
            self.apply_views();
        }
        let actions = self.state.tick(now);
        self.execute(actions);
    }

    /// Handles `first` and what else is in the channel, up to [`MAX_BATCH`] messages,
    /// without a check of the views in between.
    fn handle_batch(
        &mut self,
        first: DispatchMessage,
        messages: &mut mpsc::UnboundedReceiver<DispatchMessage>,
    ) {
        self.handle_message(first);
        for _ in 1..MAX_BATCH {
            let Ok(message) = messages.try_recv() else {
                return;
            };
            self.handle_message(message);
        }
    }

    fn handle_message(&mut self, message: DispatchMessage) {
        let now = self.now();
        match message {
            DispatchMessage::Submit {
                request,
                resend,
                reply,
            } => self.submit(now, request, resend, reply),
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
                // The send fails if the caller has disconnected; nothing is forwarded then.
                let _ = reply.send(self.forward_target(now, request));
            }
            DispatchMessage::FinishForward {
                address,
                pool,
                connection,
                refused,
            } => {
                keep_idle(
                    self.idle_peer_connections.entry(address).or_default(),
                    connection,
                );
                if refused {
                    self.forwards.block(now, address, &pool);
                }
            }
            DispatchMessage::WithdrawToken { pool, reply } => {
                // The send fails if the caller has disconnected; nothing is resent then.
                let _ = reply.send(self.retries.withdraw(&pool));
            }
            DispatchMessage::FetchAck { reply } => {
                // The send fails if the requester no longer waits for the answer.
                let _ = reply.send(EntryAck {
                    in_use: self.state.in_use_by_vm(),
                    ..self.ack.clone()
                });
            }
        }
    }

    fn submit(
        &mut self,
        now: Duration,
        request: SlotRequest,
        resend: bool,
        reply: oneshot::Sender<SlotAnswer>,
    ) {
        if !self.is_ready() {
            // The send fails if the caller has disconnected.
            let _ = reply.send(Err(NO_STATE));
            return;
        }
        if !resend {
            self.retries.deposit(&request.pool);
        }
        self.replies.insert(request.ticket, reply);
        let actions = self.state.submit(now, request);
        self.execute(actions);
    }

    fn finish(
        &mut self,
        now: Duration,
        vm: &VmName,
        report: &SlotReport,
        connection: Option<BackendConnection>,
    ) {
        keep_idle(
            self.idle_connections.entry(vm.clone()).or_default(),
            connection,
        );
        let actions = self.state.finish(now, vm, report.service_time);
        let record = self.fleet.borrow().clone();
        let record_result = |result| {
            self.health
                .record_result(now, record.as_deref(), vm, result)
        };
        let changed = report.health.map(record_result).unwrap_or(false);
        self.execute(actions);
        if changed {
            self.apply_views();
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
            connection: self
                .idle_peer_connections
                .get_mut(&address)
                .and_then(Vec::pop),
        })
    }

    fn execute(&mut self, actions: Vec<DispatchAction>) {
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
            connection: self.idle_connections.get_mut(&vm).and_then(Vec::pop),
            vm,
            address,
            granted_at: Instant::now(),
            report: SlotReport::default(),
            sender,
        };
        if !self.is_ready() {
            // Dropping the grant releases the slot.
            self.refuse(ticket, NO_STATE.reason, NO_STATE.retry_after);
            return;
        }
        if let Some(reply) = self.replies.remove(&ticket) {
            // If the caller has disconnected, the grant is dropped, which releases the slot.
            let _ = reply.send(Ok(grant));
        }
    }

    fn refuse(&mut self, ticket: TicketId, reason: RefuseReason, retry_after: Duration) {
        if let Some(reply) = self.replies.remove(&ticket) {
            // The send fails if the caller has disconnected.
            let _ = reply.send(Err(SlotRefusal {
                reason,
                retry_after,
            }));
        }
    }
}

/// Keeps a connection for reuse, up to [`MAX_IDLE_CONNECTIONS`].
fn keep_idle(idle: &mut Vec<BackendConnection>, connection: Option<BackendConnection>) {
    if idle.len() < MAX_IDLE_CONNECTIONS {
        idle.extend(connection);
    }
}
