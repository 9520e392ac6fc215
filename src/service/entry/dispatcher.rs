//! The task that owns queues, slots and idle connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
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
use crate::fleet::FleetRecord;
use crate::names::PoolName;
use crate::names::VmName;
use crate::peer::EntryAck;
use crate::peer::PeerState;
use crate::request::RefuseReason;
use crate::request::RequestClass;
use crate::service::config::ConfigView;
use crate::service::entry::exchange::BackendConnection;
use crate::service::fleet::FleetView;
use crate::service::peers::PeerView;

/// Time between two passes over the queues.
const TICK: Duration = Duration::from_millis(10);
/// Most idle connections kept to one VM.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// A slot of a VM, to be given back.
#[derive(Debug)]
pub(super) struct SlotGrant {
    pub vm: VmName,
    pub address: SocketAddr,
    /// An idle connection to the backend server, if there is one.
    pub connection: Option<BackendConnection>,
}

/// A request that gets no slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlotRefusal {
    pub reason: RefuseReason,
    pub retry_after: Duration,
}

pub(super) type SlotAnswer = Result<SlotGrant, SlotRefusal>;

/// Message to the dispatcher.
pub(super) enum DispatchMessage {
    Arrive {
        request: SlotRequest,
        reply: oneshot::Sender<SlotAnswer>,
    },
    Finish {
        vm: VmName,
        service_time: Option<Duration>,
        connection: Option<BackendConnection>,
    },
    /// Asks what is in force and in progress.
    Report { reply: oneshot::Sender<EntryAck> },
}

/// Sender of messages to the dispatcher.
///
/// Each caller's connection has at most one request in the channel, so the
/// limit on connections bounds it.
#[derive(Clone)]
pub struct DispatchInbox {
    sender: mpsc::UnboundedSender<DispatchMessage>,
    tickets: Arc<AtomicU64>,
}

impl DispatchInbox {
    pub(super) fn new(sender: mpsc::UnboundedSender<DispatchMessage>) -> Self {
        Self {
            sender,
            tickets: Arc::default(),
        }
    }

    /// Asks for a slot and waits for the decision.
    pub(super) async fn acquire(
        &self,
        pool: &PoolName,
        class: RequestClass,
        deadline: Duration,
    ) -> SlotAnswer {
        let request = SlotRequest {
            ticket: self.tickets.fetch_add(1, Ordering::Relaxed),
            pool: pool.clone(),
            class,
            deadline,
        };
        let (reply, answer) = oneshot::channel();
        let message = DispatchMessage::Arrive { request, reply };
        // A dispatcher that is gone drops the reply, which refuses the request.
        let _ = self.sender.send(message);
        answer.await.unwrap_or(Err(SlotRefusal {
            reason: RefuseReason::ShuttingDown,
            retry_after: Duration::from_secs(1),
        }))
    }

    /// Asks what is in force and in progress; none if the dispatcher is gone.
    pub async fn report(&self) -> Option<EntryAck> {
        let (reply, ack) = oneshot::channel();
        self.sender.send(DispatchMessage::Report { reply }).ok()?;
        ack.await.ok()
    }

    /// Gives a slot back.
    pub(super) fn finish(
        &self,
        vm: VmName,
        service_time: Option<Duration>,
        connection: Option<BackendConnection>,
    ) {
        // Without a dispatcher there is nobody left to count slots.
        let _ = self.sender.send(DispatchMessage::Finish {
            vm,
            service_time,
            connection,
        });
    }
}

/// Runs until all senders are gone.
pub(super) async fn run(
    mut messages: mpsc::UnboundedReceiver<DispatchMessage>,
    mut config: ConfigView,
    mut fleet: FleetView,
    mut peers: PeerView,
    started: Instant,
) {
    let mut dispatcher = Dispatcher::default();
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            Ok(()) = config.changed() => dispatcher.renew(&mut config, &mut fleet, &mut peers),
            Ok(()) = fleet.changed() => dispatcher.renew(&mut config, &mut fleet, &mut peers),
            Ok(()) = peers.changed() => dispatcher.renew(&mut config, &mut fleet, &mut peers),
            _ = ticks.tick() => {
                let actions = dispatcher.state.tick(started.elapsed());
                dispatcher.carry_out(actions);
            }
            message = messages.recv() => match message {
                Some(message) => dispatcher.take(message, started.elapsed()),
                None => return,
            },
        }
    }
}

#[derive(Default)]
struct Dispatcher {
    state: DispatchState,
    has_state: bool,
    ack: EntryAck,
    replies: HashMap<TicketId, oneshot::Sender<SlotAnswer>>,
    idle: HashMap<VmName, Vec<BackendConnection>>,
}

impl Dispatcher {
    fn renew(&mut self, config: &mut ConfigView, fleet: &mut FleetView, peers: &mut PeerView) {
        let config = config.borrow_and_update().clone();
        let peers = peers.borrow_and_update().clone();
        let pools = config.config.pools.iter();
        let pools = pools.map(|(name, pool)| (name, pool.queue_limit));
        self.state.set_pools(pools);
        self.ack.generation = peers.generation;
        let Some(record) = fleet.borrow_and_update().clone() else {
            return;
        };
        self.has_state = config.version > 0 && peers.trusted;
        self.ack.config_version = config.version;
        self.ack.fleet_sequence = record.sequence;
        let targets = targets(&record, &config.config, &peers);
        self.state.set_vms(targets);
        self.idle.retain(|vm, _| record.vms.contains_key(vm));
    }

    fn take(&mut self, message: DispatchMessage, now: Duration) {
        let actions = match message {
            DispatchMessage::Arrive { reply, .. } if !self.has_state => {
                // A caller that has gone needs no answer.
                let _ = reply.send(Err(SlotRefusal {
                    reason: RefuseReason::NoState,
                    retry_after: Duration::from_secs(1),
                }));
                return;
            }
            DispatchMessage::Arrive { request, reply } => {
                self.replies.insert(request.ticket, reply);
                self.state.arrive(now, &request)
            }
            DispatchMessage::Finish {
                vm,
                service_time,
                connection,
            } => {
                self.keep(&vm, connection);
                self.state.finish(now, &vm, service_time)
            }
            DispatchMessage::Report { reply } => {
                let in_use = self.state.all_in_use();
                // A peer that has given up needs no answer.
                let _ = reply.send(EntryAck {
                    in_use,
                    ..self.ack.clone()
                });
                return;
            }
        };
        self.carry_out(actions);
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
        let connection = self.idle.get_mut(&vm).and_then(Vec::pop);
        let grant = SlotGrant {
            vm: vm.clone(),
            address,
            connection,
        };
        let reply = self.replies.remove(&ticket);
        let unused = match reply {
            Some(reply) => reply.send(Ok(grant)).err(),
            None => Some(Ok(grant)),
        };
        // The caller has gone: the slot is free again.
        if let Some(Ok(grant)) = unused {
            self.keep(&vm, grant.connection);
            let actions = self.state.finish(Duration::ZERO, &vm, None);
            self.carry_out(actions);
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

fn targets(record: &FleetRecord, config: &FleetConfig, peers: &PeerState) -> Vec<VmTarget> {
    let targets = record.vms.iter().map(|(name, vm)| {
        let pool = config.pools.get(&vm.pool);
        let slots = pool.map_or(DEFAULT_SLOTS, |pool| pool.slots);
        VmTarget {
            name: name.clone(),
            pool: vm.pool.clone(),
            address: vm.address,
            share: peers.share_of(name, slots),
            takes_work: vm.state.takes_work(),
        }
    });
    targets.collect()
}
