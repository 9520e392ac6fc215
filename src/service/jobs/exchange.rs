//! Exchange of state between entry VMs: the owner of the shard, the newest
//! configuration and the maintenance waves.
//!
//! Each entry VM sends an exchange message to the owner every half second; the owner
//! answers with its own. So an entry VM whose store calls are rejected still learns of
//! changes in time, an owner that missed a change learns of it from the others, and
//! each entry VM knows whether it reaches the owner.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::clock::boot_ms;
use crate::http::CallRequest;
use crate::jobs::record::MemberRecord;
use crate::jobs::record::ShardKeys;
use crate::jobs::wave::WaveOrder;
use crate::keep_alive::KeepAliveClient;
use crate::ports::StoreCall;
use crate::ports::StoreReply;
use crate::service::jobs::member::update_owner_from_peer;
use crate::service::jobs::messages::ExchangeExtension;
use crate::service::jobs::messages::ExchangeMessage;
use crate::service::jobs::messages::MemberState;
use crate::service::jobs::messages::OperatorState;
use crate::service::jobs::operator::ConfigOffer;
use crate::service::jobs::operator::add_wave;
use crate::service::jobs::operator::apply_offer;
use crate::service::jobs::operator::config_version;
use crate::service::jobs::peer::EXCHANGE_PATH;
use crate::service::jobs::peer::MSGPACK;
use crate::service::jobs::settings::NodeSettings;
use crate::service::jobs::status::ConfigStatus;
use crate::service::jobs::store::StoreLink;

/// Time between two exchange messages; a change of the configuration must be in force
/// everywhere within two seconds.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(500);

/// Time between two exchange messages while the configuration may not be used before a peer
/// has answered; lasts for [`STARTUP_GRACE_MS`] at most.
const START_PERIOD: Duration = Duration::from_millis(100);

/// Time limit of an exchange: several round trips between data centres.
const EXCHANGE_LIMIT: Duration = Duration::from_millis(400);

/// How long an entry VM counts as in contact after its last message, in milliseconds:
/// three exchange periods.
const CONTACT_EXPIRY_MS: u64 = 1600;

/// Time after the start of the process before missing messages count, in milliseconds.
const STARTUP_GRACE_MS: u64 = 3000;

/// How many other entry VMs this one is in contact with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerReach {
    /// Number of other entry VMs that are known.
    pub known: usize,
    /// Number of those from which a message arrived recently.
    pub recent: usize,
    /// Whether the process has run for long enough that missing messages count.
    pub is_startup_over: bool,
}

impl PeerReach {
    /// Returns whether this entry VM is in contact with none of the other entry VMs,
    /// although some are known.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.is_startup_over && self.known > 0 && self.recent == 0
    }
}

/// Time limit of the call that checks whether the store is reachable; a slow store
/// answers in a quarter of a second.
const STORE_LIMIT: Duration = Duration::from_millis(400);

/// Time limit of the messages that look for reachable entry VMs: a few round trips.
const PROBE_LIMIT: Duration = Duration::from_millis(120);

/// Maximum number of entry VMs to which these are sent.
const MAX_PROBED_PEERS: usize = 32;

/// State that is exchanged, and the contact with other entry VMs.
#[derive(Clone)]
pub struct ExchangeState {
    /// Name of this entry VM.
    pub name: String,
    /// The operator's configuration and waves.
    pub operator: watch::Sender<OperatorState>,
    /// The entry VMs and the owner of the shard.
    pub members: watch::Sender<MemberState>,
    /// When the last message of each other entry VM arrived, in milliseconds on the
    /// boot clock, by name.
    pub last_contact: Arc<Mutex<HashMap<String, u64>>>,
    /// Start of this process, in milliseconds on the boot clock.
    pub started_ms: u64,
    /// Whether neither the owner nor the store is reachable.
    pub disconnected: Arc<AtomicBool>,
    /// Whether that holds for other entry VMs too: some of them answer.
    pub cut_together: Arc<AtomicBool>,
    /// HTTP client for other entry VMs.
    pub client: KeepAliveClient,
    /// Whether the configuration in force may be used to check API keys.
    pub status: ConfigStatus,
}

impl ExchangeState {
    /// Applies a message from another entry VM and returns the answer; `owning` is
    /// whether this entry VM owns the shard.
    #[must_use]
    pub fn reply_to(&self, message: ExchangeMessage, owning: bool) -> ExchangeMessage {
        let version = message.version;
        let known: Vec<u64> = message.waves.iter().map(|wave| wave.wave).collect();
        self.apply(message, None);
        let mut waves = self.operator.borrow().waves.clone();
        // Only an owner needs waves, and others send them to it when its ownership begins.
        waves.retain(|wave| !known.is_empty() && !known.contains(&wave.wave));
        ExchangeMessage {
            waves,
            ..self.build_message(owning, version)
        }
    }

    /// Returns a message without waves for an entry VM that has this version of the
    /// configuration; it includes the configuration only if this entry VM's is newer.
    fn build_message(&self, owning: bool, version: u64) -> ExchangeMessage {
        let operator = self.operator.borrow();
        let config = operator.config.as_ref();
        let own = config.map_or(0, |config| config.version);
        let newer = config.filter(|_| own > version);
        ExchangeMessage {
            name: self.name.clone(),
            owner: self
                .members
                .borrow()
                .owner
                .as_ref()
                .map(|(owner, _)| owner.clone()),
            owning,
            version: own,
            config: newer.map(|config| config.as_ref().clone()),
            waves: Vec::new(),
            extension: Some(ExchangeExtension {
                accounts: newer.map(|config| config.as_ref().into()),
                age_ms: self.status.age_ms(),
            }),
        }
    }

    fn waves(&self) -> Vec<WaveOrder> {
        self.operator.borrow().waves.clone()
    }

    /// Returns whether this entry VM cannot serve callers for now: it reaches neither
    /// the owner nor the store, from which it would learn of the next owner.
    #[must_use]
    pub fn is_disconnected(&self) -> bool {
        self.disconnected.load(Ordering::Relaxed)
    }

    /// Returns whether this entry VM is disconnected together with others, as in the cut of a
    /// data centre.
    #[must_use]
    pub fn is_cut_together(&self) -> bool {
        self.is_disconnected() && self.cut_together.load(Ordering::Relaxed)
    }

    /// Determines whether other entry VMs are reachable, while this one is disconnected. They
    /// cannot reach the store or the owner either, since they would relay calls to the store.
    async fn update_cut_together(&self, others: &[SocketAddr]) {
        let mut calls = JoinSet::new();
        for peer in others.iter().copied().take(MAX_PROBED_PEERS) {
            let state = self.clone();
            calls.spawn(async move {
                let answer = state.send(peer, u64::MAX, Vec::new(), PROBE_LIMIT).await;
                answer.is_some()
            });
        }
        let mut answered = false;
        while let Some(result) = calls.join_next().await {
            answered |= result.unwrap_or(false);
        }
        self.cut_together.store(answered, Ordering::Relaxed);
    }

    fn set_disconnected(&self, disconnected: bool) {
        if self.disconnected.swap(disconnected, Ordering::Relaxed) != disconnected {
            log::warn!(event = "connectivity_changed", disconnected = disconnected; "");
        }
    }

    /// Returns how many other entry VMs are known and how many are in contact.
    #[must_use]
    pub fn reach(&self) -> PeerReach {
        let now = boot_ms();
        let last_contact = self
            .last_contact
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let members = self.members.borrow();
        let recent = members.nodes.iter().filter(|(name, _)| {
            last_contact
                .get(name)
                .is_some_and(|at| now < at + CONTACT_EXPIRY_MS)
        });
        PeerReach {
            known: members.nodes.len(),
            recent: recent.count(),
            is_startup_over: now > self.started_ms + STARTUP_GRACE_MS,
        }
    }

    /// Applies a message; `sent_ms` is when the request was sent that it answers, on the boot
    /// clock, and none if it is itself a request, which may have been long on its way.
    fn apply(&self, message: ExchangeMessage, sent_ms: Option<u64>) {
        let mut last_contact = self
            .last_contact
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_contact.insert(message.name.clone(), boot_ms());
        drop(last_contact);
        let offer = ConfigOffer {
            source: &message.name,
            version: message.version,
            sent_ms,
        };
        let extension = message.extension.unwrap_or_default();
        apply_offer(
            &self.operator,
            &self.status,
            offer,
            message.config,
            extension,
        );
        for wave in message.waves {
            add_wave(&self.operator, wave);
        }
        if let Some(owner) = message.owner {
            self.members
                .send_if_modified(|state| update_owner_from_peer(state, owner));
        }
    }

    /// Returns the time until the next message.
    fn period(&self) -> Duration {
        if self.status.is_usable() {
            EXCHANGE_PERIOD
        } else {
            START_PERIOD
        }
    }

    /// Sends a message to another entry VM, applies the answer and returns it; none if
    /// there is no valid answer.
    ///
    /// `version` is the version of that entry VM's configuration; with [`u64::MAX`], the
    /// message never includes the configuration. `waves` are those that it may lack.
    pub async fn send(
        &self,
        peer: SocketAddr,
        version: u64,
        waves: Vec<WaveOrder>,
        limit: Duration,
    ) -> Option<ExchangeMessage> {
        let message = ExchangeMessage {
            waves,
            ..self.build_message(false, version)
        };
        let body = match message.encode() {
            Ok(body) => body,
            Err(error) => {
                log::error!(event = "exchange_encode_failed", error:% = error; "");
                return None;
            }
        };
        let request = CallRequest {
            method: Method::POST,
            path: EXCHANGE_PATH,
            content_type: MSGPACK,
            body: Bytes::from(body),
            limit,
            ..CallRequest::default()
        };
        let sent_ms = boot_ms();
        let answer = match self.client.call(peer, request).await {
            Ok(answer) => answer,
            Err(error) => {
                log::debug!(event = "exchange_failed", peer:% = peer, error:% = error; "");
                return None;
            }
        };
        let answer = match ExchangeMessage::decode(&answer.body) {
            Ok(answer) => answer,
            Err(error) => {
                log::warn!(event = "exchange_unreadable", peer:% = peer, error:% = error; "");
                return None;
            }
        };
        self.apply(answer.clone(), Some(sent_ms));
        if config_version(&self.operator) >= answer.version {
            self.status.set_peers_asked();
        }
        Some(answer)
    }
}

/// Returns the control address of an owner; none if its record has no valid one.
#[must_use]
pub fn address_of(owner: &MemberRecord) -> Option<SocketAddr> {
    owner.address.parse().ok()
}

/// Exchanges a message with the owner in each period; never returns.
///
/// If this entry VM is the owner, or no owner answers, the message goes to one of the
/// other entry VMs, each in turn.
pub async fn run(settings: NodeSettings, link: StoreLink, state: ExchangeState) {
    let mut peer_version = u64::MAX;
    let mut peer_index = 0;
    // Epoch of the last owner that answered, and the number of waves that it was sent.
    let mut acknowledged = (0, 0);
    loop {
        let (owner, nodes, synced) = {
            let members = state.members.borrow();
            let owner = members.owner.as_ref().map(|(owner, _)| owner.clone());
            (owner, members.nodes.clone(), members.synced)
        };
        let others = nodes.iter().map(|(_, address)| *address);
        let seeds = settings.seeds.iter().copied();
        let others: Vec<_> = others
            .chain(seeds)
            .filter(|peer| *peer != settings.control)
            .collect();
        let owning = owner
            .as_ref()
            .is_some_and(|owner| owner.name == settings.name);
        let target = owner.as_ref().filter(|_| !owning).and_then(address_of);
        let waves = state.waves();
        let current = (owner.as_ref().map_or(0, |owner| owner.epoch), waves.len());
        let answered = match target {
            Some(peer) => {
                let waves = if current == acknowledged {
                    Vec::new()
                } else {
                    waves
                };
                state.send(peer, peer_version, waves, EXCHANGE_LIMIT).await
            }
            None => None,
        };
        let connected = answered.is_some() || owning && !state.reach().is_isolated();
        let disconnected = !connected && !reaches_store(&link).await;
        if disconnected {
            state.update_cut_together(&others).await;
        }
        state.set_disconnected(disconnected);
        if synced && others.is_empty() || state.reach().is_startup_over {
            state.status.set_peers_asked();
        }
        match answered {
            Some(message) => {
                peer_version = message.version;
                if message.owning {
                    acknowledged = current;
                }
            }
            None if !others.is_empty() => {
                peer_index = (peer_index + 1) % others.len();
                peer_version = u64::MAX;
                let (peer, waves) = (others[peer_index], state.waves());
                state.send(peer, peer_version, waves, EXCHANGE_LIMIT).await;
            }
            None => {}
        }
        sleep(state.period()).await;
    }
}

async fn reaches_store(link: &StoreLink) -> bool {
    let key = ShardKeys::default().chain(0);
    let reply = link.call(&StoreCall::Get { key }, STORE_LIMIT).await;
    matches!(reply, Ok(StoreReply::Item(_)))
}
