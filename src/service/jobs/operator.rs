//! The operator's configuration and maintenance waves.
//!
//! They come from the store or from other entry VMs. A configuration is replaced only
//! by a valid one of a higher version, whatever its source.

use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;

use crate::clock::boot_ms;
use crate::jobs::account::AccountDirectory;
use crate::jobs::account::check_accounts;
use crate::jobs::config::JobConfig;
use crate::jobs::confirmation::PeerConfig;
use crate::jobs::wave::WaveOrder;
use crate::metrics::CONFIG_REJECTED;
use crate::metrics::CONFIG_VERSION;
use crate::ports::DialectPort;
use crate::ports::store::StoreEvent;
use crate::ports::store::StoreItem;
use crate::service::jobs::exchange::ExchangeState;
use crate::service::jobs::messages::ExchangeExtension;
use crate::service::jobs::messages::OperatorState;
use crate::service::jobs::messages::RejectedConfig;
use crate::service::jobs::status::ConfigStatus;
use crate::service::jobs::store::StoreLink;
use crate::service::jobs::watch::PrefixUpdate;
use crate::service::jobs::watch::watch_with_confirmation;

/// Version that stands for a configuration that cannot be decoded: nothing newer is known.
const UNREADABLE_VERSION: u64 = u64::MAX;

/// Watches the operator's keys in the store with this longest wait, publishes their values
/// and confirms the configuration in force. Removals are logged and otherwise ignored.
pub async fn run(dialect: DialectPort, link: StoreLink, wait: Duration, exchange: ExchangeState) {
    let sender = &exchange.operator;
    // Version that the store returned last.
    let stored_version = AtomicU64::new(0);
    let apply_update = |update: PrefixUpdate| {
        let apply = |item| {
            if let Some(version) = apply_item(&dialect, sender, item) {
                stored_version.store(version, Ordering::Relaxed);
            }
        };
        match update {
            PrefixUpdate::Snapshot(items) => items.into_iter().for_each(apply),
            PrefixUpdate::Change(StoreEvent::Written(item)) => apply(item),
            PrefixUpdate::Change(StoreEvent::Removed { key, .. }) => {
                log::info!(event = "operator_key_removed", key = key.as_str(); "");
            }
        }
        true
    };
    let confirm = |sent_ms| {
        // After a stale read, the version in force, from a peer, is newer than the stored one.
        if config_version(sender) <= stored_version.load(Ordering::Relaxed) {
            exchange.status.confirm(sent_ms);
        }
    };
    let prefix = dialect.keys.operator;
    watch_with_confirmation(&link, prefix, wait, apply_update, confirm).await;
}

/// Applies a stored item; returns the version if it is the configuration.
fn apply_item(
    dialect: &DialectPort,
    sender: &watch::Sender<OperatorState>,
    item: StoreItem,
) -> Option<u64> {
    if item.key == dialect.keys.config {
        match (dialect.config)(&item.value) {
            Ok(config) => {
                let version = config.version;
                update_config(sender, config, "store");
                return Some(version);
            }
            Err(error) => {
                let rejected = RejectedConfig {
                    number: item.revision,
                    reason: "unreadable",
                };
                reject_config(sender, rejected, "store", &error);
                return Some(UNREADABLE_VERSION);
            }
        }
    } else if item.key.starts_with(dialect.keys.waves) {
        match (dialect.wave)(&item.value) {
            Ok(wave) => add_wave(sender, wave),
            Err(error) => {
                log::warn!(event = "wave_unreadable", key = item.key.as_str(), error:% = error; "");
            }
        }
    }
    None
}

/// Where a configuration came from if a peer sent it.
#[derive(Clone, Copy, Debug)]
pub struct ConfigOffer<'a> {
    /// Name of the peer.
    pub source: &'a str,
    /// Version that the peer has in force; it sends its configuration only if it is newer.
    pub version: u64,
    /// When the request was sent that the peer answered, on the boot clock; none if the peer
    /// sent a request, which may have been long on its way.
    pub sent_ms: Option<u64>,
}

/// Puts a peer's configuration in force if it is newer, valid and trusted, and confirms the
/// configuration in force if the peer has the same and was confirmed itself.
pub fn apply_offer(
    sender: &watch::Sender<OperatorState>,
    status: &ConfigStatus,
    offer: ConfigOffer<'_>,
    config: Option<JobConfig>,
    extension: ExchangeExtension,
) {
    let confirmed = offer.sent_ms.zip(extension.age_ms);
    if let Some(config) = config {
        let since = |sent_ms: u64| boot_ms().saturating_sub(sent_ms);
        let received = PeerConfig {
            has_account_part: extension.accounts.is_some(),
            is_first: config_version(sender) == 0,
            age_ms: confirmed.map(|(sent_ms, age_ms)| since(sent_ms).saturating_add(age_ms)),
        };
        let has_accounts = status.needs_accounts || sender.borrow().accounts.is_some();
        if let Some(reason) = received.refusal().filter(|_| has_accounts) {
            let number = config.version;
            let rejected = RejectedConfig { number, reason };
            reject_config(sender, rejected, offer.source, &reason);
        } else {
            let accounts = extension.accounts.unwrap_or_default();
            update_config(sender, config.with_accounts(accounts), offer.source);
        }
    }
    // The confirmation of an older version says nothing about the one in force.
    if let Some((sent_ms, age_ms)) = confirmed
        && offer.version > 0
        && offer.version == config_version(sender)
    {
        status.confirm_from_peer(sent_ms, age_ms);
    }
}

/// Returns the version of the configuration in force; 0 if there is none.
#[must_use]
pub fn config_version(sender: &watch::Sender<OperatorState>) -> u64 {
    let state = sender.borrow();
    state.config.as_ref().map_or(0, |config| config.version)
}

/// Logs and counts a rejected configuration; `source` names where it came from.
fn reject_config(
    sender: &watch::Sender<OperatorState>,
    rejected: RejectedConfig,
    source: &str,
    fault: &dyn Display,
) {
    sender.send_if_modified(|state| {
        reject(state, rejected, source, fault);
        false
    });
}

/// Logs and counts a rejected configuration unless it is the one that was rejected last: each
/// exchange message may bring it again, and a watch that starts anew does.
fn reject(state: &mut OperatorState, rejected: RejectedConfig, source: &str, fault: &dyn Display) {
    if state.rejected == Some(rejected) {
        return;
    }
    let known = state.config.as_ref().map_or(0, |config| config.version);
    log::warn!(
        event = "config_rejected", number = rejected.number, reason = rejected.reason,
        in_force = known, source = source, error:% = fault; ""
    );
    metrics::counter!(CONFIG_REJECTED, "reason" => rejected.reason).increment(1);
    state.rejected = Some(rejected);
}

/// Puts a configuration in force if it is valid and its version is higher than that of the
/// one in force; `source` names where it came from, for the log.
pub fn update_config(sender: &watch::Sender<OperatorState>, config: JobConfig, source: &str) {
    sender.send_if_modified(|state| {
        let known = state.config.as_ref().map_or(0, |config| config.version);
        if config.version <= known {
            return false;
        }
        if let Err(fault) = check_accounts(config.accounts.as_deref().unwrap_or_default()) {
            let rejected = RejectedConfig {
                number: config.version,
                reason: fault.as_str(),
            };
            reject(state, rejected, source, &fault);
            return false;
        }
        log::info!(
            event = "config_in_force", version = config.version, before = known,
            queues = config.queues.len(), source = source; ""
        );
        metrics::gauge!(CONFIG_VERSION).set(config.version as f64);
        let accounts = config.accounts.as_deref();
        state.accounts = accounts.map(|accounts| Arc::new(AccountDirectory::new(accounts)));
        state.config = Some(Arc::new(config));
        true
    });
}

/// Adds a requested wave unless one of its number is known.
pub fn add_wave(sender: &watch::Sender<OperatorState>, wave: WaveOrder) {
    sender.send_if_modified(|state| {
        let known = state.waves.iter().any(|known| known.wave == wave.wave);
        if !known {
            state.waves.push(wave);
        }
        !known
    });
}
