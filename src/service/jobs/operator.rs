//! The operator's configuration and maintenance waves.
//!
//! They come from the store or from other entry VMs. A configuration is replaced only
//! by a valid one of a higher version, whatever its source.

use std::fmt::Display;
use std::sync::Arc;

use tokio::sync::watch;

use crate::jobs::account::AccountDirectory;
use crate::jobs::account::check_accounts;
use crate::jobs::config::JobConfig;
use crate::jobs::wave::WaveOrder;
use crate::metrics::CONFIG_REJECTED;
use crate::metrics::CONFIG_VERSION;
use crate::ports::DialectPort;
use crate::ports::store::StoreEvent;
use crate::ports::store::StoreItem;
use crate::service::jobs::messages::OperatorState;
use crate::service::jobs::messages::RejectedConfig;
use crate::service::jobs::store::StoreLink;
use crate::service::jobs::watch::PrefixUpdate;
use crate::service::jobs::watch::watch_prefix;

/// Watches the operator's keys in the store and publishes their values to `sender`.
/// Removals are logged and otherwise ignored.
pub async fn run(dialect: DialectPort, link: StoreLink, sender: watch::Sender<OperatorState>) {
    let apply_update = |update: PrefixUpdate| {
        match update {
            PrefixUpdate::Snapshot(items) => items
                .into_iter()
                .for_each(|item| apply_item(&dialect, &sender, item)),
            PrefixUpdate::Change(StoreEvent::Written(item)) => apply_item(&dialect, &sender, item),
            PrefixUpdate::Change(StoreEvent::Removed { key, .. }) => {
                log::info!(event = "operator_key_removed", key = key.as_str(); "");
            }
        }
        true
    };
    watch_prefix(&link, dialect.keys.operator, apply_update).await;
}

fn apply_item(dialect: &DialectPort, sender: &watch::Sender<OperatorState>, item: StoreItem) {
    if item.key == dialect.keys.config {
        match (dialect.config)(&item.value) {
            Ok(config) => update_config(sender, config, "store"),
            Err(error) => {
                let rejected = RejectedConfig {
                    number: item.revision,
                    reason: "unreadable",
                };
                sender.send_if_modified(|state| {
                    reject(state, rejected, "store", &error);
                    false
                });
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
}

/// Logs and counts a rejected configuration unless it is the one that was rejected last: a
/// watch that starts again and each exchange message may bring it again.
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
