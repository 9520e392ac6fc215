//! Notes between entry VMs: who owns the shard, and the newest configuration.
//!
//! Each entry VM asks the owner every half second. So one that the store turns away
//! still learns of changes in time, an owner that missed one learns of it from the
//! others, and each knows whether it reaches the owner.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::clock::boot_ms;
use crate::http::CallRequest;
use crate::jobs::record::MemberRecord;
use crate::kept::KeptClient;
use crate::service::jobs::member::note_owner;
use crate::service::jobs::messages::ExchangeNote;
use crate::service::jobs::messages::MemberState;
use crate::service::jobs::messages::OperatorState;
use crate::service::jobs::operator::offer_config;
use crate::service::jobs::operator::offer_wave;
use crate::service::jobs::peer::EXCHANGE_PATH;
use crate::service::jobs::peer::MSGPACK;
use crate::service::jobs::settings::NodeSettings;

/// Time between two notes; a change of the configuration is to be in force
/// everywhere within two seconds.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(500);

/// Limit on a note: several round trips between data centres.
const EXCHANGE_LIMIT: Duration = Duration::from_millis(400);

/// What is exchanged, and when the owner last answered.
#[derive(Clone)]
pub struct ExchangeState {
    /// Name of this entry VM.
    pub name: String,
    /// What the operator wants.
    pub operator: watch::Sender<OperatorState>,
    /// The members.
    pub members: watch::Sender<MemberState>,
    /// Last answer of any other entry VM or of the store, on the boot clock.
    pub heard_ms: Arc<AtomicU64>,
    /// Connections.
    pub kept: KeptClient,
}

impl ExchangeState {
    /// Answers a note.
    #[must_use]
    pub fn answer(&self, note: ExchangeNote, owning: bool) -> ExchangeNote {
        let version = note.version;
        self.take(note);
        self.note(owning, version)
    }

    /// Makes a note for an entry VM that has this version of the configuration.
    fn note(&self, owning: bool, version: u64) -> ExchangeNote {
        let operator = self.operator.borrow();
        let config = operator.config.as_ref();
        let own = config.map_or(0, |config| config.version);
        ExchangeNote {
            name: self.name.clone(),
            owner: self
                .members
                .borrow()
                .owner
                .as_ref()
                .map(|(owner, _)| owner.clone()),
            owning,
            version: own,
            config: config
                .filter(|_| own > version)
                .map(|config| config.as_ref().clone()),
            waves: operator.waves.clone(),
        }
    }

    fn take(&self, note: ExchangeNote) {
        if let Some(config) = note.config {
            offer_config(&self.operator, config, &note.name);
        }
        for wave in note.waves {
            offer_wave(&self.operator, wave);
        }
        let known = self
            .members
            .borrow()
            .owner
            .as_ref()
            .map_or(0, |(owner, _)| owner.epoch);
        if let Some(owner) = note.owner.filter(|owner| owner.epoch > known) {
            // The revision is not known; a bid would read it first.
            self.members
                .send_modify(|state| note_owner(state, owner, 0));
        }
    }

    /// Sends a note and takes in the answer.
    pub async fn send(&self, peer: SocketAddr, version: u64) -> Option<ExchangeNote> {
        let note = self.note(false, version);
        let body = rmp_serde::to_vec(&note).ok()?;
        let request = CallRequest {
            method: Method::POST,
            path: EXCHANGE_PATH,
            content_type: MSGPACK,
            body: Bytes::from(body),
            limit: EXCHANGE_LIMIT,
            ..CallRequest::default()
        };
        let answer = match self.kept.call(peer, request).await {
            Ok(answer) => answer,
            Err(error) => {
                self.kept.forget(peer);
                log::debug!(event = "exchange_failed", peer:% = peer, error:% = error; "");
                return None;
            }
        };
        self.heard_ms.store(boot_ms(), Ordering::Relaxed);
        let answer: ExchangeNote = match rmp_serde::from_slice(&answer.body) {
            Ok(answer) => answer,
            Err(error) => {
                log::warn!(event = "exchange_unreadable", peer:% = peer, error:% = error; "");
                return None;
            }
        };
        let mut taken = answer.clone();
        taken.config = answer.config.clone();
        self.take(taken);
        Some(answer)
    }
}

/// Returns the address of an owner.
#[must_use]
pub fn address_of(owner: &MemberRecord) -> Option<SocketAddr> {
    owner.address.parse().ok()
}

/// Sends notes for ever.
pub async fn run(settings: NodeSettings, state: ExchangeState) {
    let mut version_there = u64::MAX;
    let mut turn = 0;
    loop {
        let (owner, nodes) = {
            let members = state.members.borrow();
            let owner = members.owner.as_ref().map(|(owner, _)| owner.clone());
            (owner, members.nodes.clone())
        };
        let others = nodes.iter().map(|(_, address)| *address);
        let seeds = settings.seeds.iter().copied();
        let others: Vec<_> = others
            .chain(seeds)
            .filter(|peer| *peer != settings.control)
            .collect();
        let owner = owner.filter(|owner| owner.name != settings.name);
        let target = owner.as_ref().and_then(address_of);
        let answered = match target {
            Some(peer) => state.send(peer, version_there).await,
            None => None,
        };
        match answered {
            Some(note) => version_there = note.version,
            None if !others.is_empty() => {
                turn = (turn + 1) % others.len();
                version_there = u64::MAX;
                state.send(others[turn], version_there).await;
            }
            None => {}
        }
        sleep(EXCHANGE_PERIOD).await;
    }
}
