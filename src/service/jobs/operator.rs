//! The operator's configuration and maintenance waves.
//!
//! They come from the store or from other entry VMs. A configuration is replaced only
//! by one of a higher version, whatever its source.

use std::sync::Arc;

use tokio::sync::watch;

use crate::jobs::account::AccountDirectory;
use crate::jobs::config::JobConfig;
use crate::jobs::wave::WaveOrder;
use crate::metrics::CONFIG_VERSION;
use crate::ports::DialectPort;
use crate::ports::store::StoreEvent;
use crate::ports::store::StoreItem;
use crate::service::jobs::messages::OperatorState;
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
            Err(error) => log::warn!(event = "config_unreadable", error:% = error; ""),
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

/// Puts a configuration in force if its version is higher than that of the one in force;
/// `source` names where it came from, for the log.
pub fn update_config(sender: &watch::Sender<OperatorState>, config: JobConfig, source: &str) {
    sender.send_if_modified(|state| {
        let known = state.config.as_ref().map_or(0, |config| config.version);
        if config.version <= known {
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
