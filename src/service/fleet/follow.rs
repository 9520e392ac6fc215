//! Puts new fleet records in force, from the controller's pushes or from a watch at
//! the platform.

use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::sleep;

use super::FleetMessage;
use super::failure_backoff;
use super::store::decode_record;
use super::store::fleet_key;
use crate::fleet::FleetRecord;
use crate::metrics::FLEET_SEQUENCE;
use crate::platform::KeyValue;
use crate::platform::PlatformClient;
use crate::settings::DaemonSettings;

/// Sender of the record in force.
pub(super) type RecordSender = watch::Sender<Option<Arc<FleetRecord>>>;

/// Applies pushed records, and watches the record at the platform while that is
/// enabled.
pub(super) async fn run(
    settings: &DaemonSettings,
    client: &PlatformClient,
    sender: &RecordSender,
    mut messages: mpsc::Receiver<FleetMessage>,
) {
    let mut watching = true;
    let mut watch = std::pin::pin!(watch_record(settings, client, sender));
    loop {
        let message = tokio::select! {
            message = messages.recv() => message,
            () = watch.as_mut(), if watching => return,
        };
        match message {
            Some(FleetMessage::Offer(record)) => apply_record(sender, record),
            Some(FleetMessage::Watch(on)) => {
                if on != watching {
                    // Cancels the pending call; a new watch starts with a read.
                    watch.set(watch_record(settings, client, sender));
                }
                watching = on;
            }
            // Not reached while the process runs: the kernel holds a sender.
            None => return,
        }
    }
}

async fn watch_record(settings: &DaemonSettings, client: &PlatformClient, sender: &RecordSender) {
    let key = fleet_key(&settings.dc);
    let mut backoff = failure_backoff(settings.control.sync);
    let mut index = 0;
    loop {
        match client.watch(&key, index).await {
            Ok(answer) => {
                backoff.reset();
                index = answer.index;
                if let Some(value) = answer.value {
                    apply_stored_record(sender, &value);
                }
            }
            Err(error) => {
                log::warn!(event = "fleet_watch_failed", error:% = error; "");
                sleep(backoff.next_pause(rand::random())).await;
            }
        }
    }
}

fn apply_stored_record(sender: &RecordSender, value: &KeyValue) {
    match decode_record(value) {
        Ok(record) => apply_record(sender, Arc::new(record)),
        Err(error) => log::error!(event = "fleet_record_unreadable", error:% = error; ""),
    }
}

/// Puts a record in force if its sequence is greater than that of the one in force.
pub(super) fn apply_record(sender: &RecordSender, record: Arc<FleetRecord>) {
    sender.send_if_modified(|current| {
        let known = current.as_ref().map_or(0, |current| current.sequence);
        let newer = record.sequence > known;
        if newer {
            log::info!(event = "fleet_in_force", sequence = record.sequence; "");
            metrics::gauge!(FLEET_SEQUENCE).set(record.sequence as f64);
            *current = Some(record);
        }
        newer
    });
}
