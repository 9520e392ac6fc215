//! What the operator puts into the store: configuration and waves.
//!
//! The newest version wins, wherever it comes from; an older one never replaces it.

use std::sync::Arc;

use tokio::sync::watch;

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

/// Follows what the operator writes and publishes it.
pub async fn run(dialect: DialectPort, link: StoreLink, sender: watch::Sender<OperatorState>) {
    let news = |news: PrefixUpdate| {
        match news {
            PrefixUpdate::Snapshot(items) => items
                .into_iter()
                .for_each(|item| apply(&dialect, &sender, item)),
            PrefixUpdate::Change(StoreEvent::Written(item)) => apply(&dialect, &sender, item),
            PrefixUpdate::Change(StoreEvent::Removed { key, .. }) => {
                log::info!(event = "operator_key_removed", key = key.as_str(); "");
            }
        }
        true
    };
    watch_prefix(&link, dialect.keys.operator, news).await;
}

fn apply(dialect: &DialectPort, sender: &watch::Sender<OperatorState>, item: StoreItem) {
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

/// Puts a configuration in force if it is newer than the one that is.
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
        state.config = Some(Arc::new(config));
        true
    });
}

/// Takes in a requested wave.
pub fn add_wave(sender: &watch::Sender<OperatorState>, wave: WaveOrder) {
    sender.send_if_modified(|state| {
        let known = state.waves.iter().any(|known| known.wave == wave.wave);
        if !known {
            state.waves.push(wave);
        }
        !known
    });
}
