//! Loads a shard from the store into the scheduler of a new owner.

use std::collections::HashMap;

use crate::clock::boot_ms;
use crate::clock::unix_ms;
use crate::jobs::codec::decode_with;
use crate::jobs::engine::JobEngine;
use crate::jobs::engine::TimePair;
use crate::jobs::permits::PermitRecord;
use crate::jobs::record::ShardKeys;
use crate::jobs::record::decode_body;
use crate::jobs::record::decode_progress;
use crate::jobs::unresponsive::UnresponsiveRecord;
use crate::jobs::wave::StoredWave;
use crate::ports::store::StoreItem;
use crate::service::jobs::store::StoreError;
use crate::service::jobs::store::StoreLink;
use crate::service::jobs::watch::read_all;

/// Records of a shard in the store.
#[derive(Clone, Debug, Default)]
pub struct ShardContent {
    /// Bodies of jobs, still encoded.
    pub bodies: Vec<StoreItem>,
    /// Progress records of jobs, still encoded.
    pub progress: Vec<StoreItem>,
    /// Progress of waves by number.
    pub waves: HashMap<u64, StoredWave>,
    /// Permits to move or maintain VMs, still encoded, if any are stored.
    pub permits: Option<StoreItem>,
    /// Leases of unresponsive workers, still encoded, if any are stored.
    pub unresponsive: Option<StoreItem>,
}

/// Reads all records of a shard. Wave records that cannot be decoded are logged and left
/// out.
///
/// # Errors
///
/// Fails if a page of keys cannot be read.
pub async fn read_shard(link: &StoreLink, keys: ShardKeys) -> Result<ShardContent, StoreError> {
    let (bodies, progress, waves) = (keys.bodies(), keys.progress(), keys.waves());
    let (permits, unresponsive) = (keys.permits(), keys.unresponsive());
    let (bodies, progress, waves, permits, unresponsive) = tokio::join!(
        read_all(link, &bodies),
        read_all(link, &progress),
        read_all(link, &waves),
        read_all(link, &permits),
        read_all(link, &unresponsive),
    );
    let mut content = ShardContent {
        bodies: bodies?.0,
        progress: progress?.0,
        waves: HashMap::new(),
        unresponsive: unresponsive?
            .0
            .into_iter()
            .find(|item| item.key == keys.unresponsive()),
        permits: permits?
            .0
            .into_iter()
            .find(|item| item.key == keys.permits()),
    };
    for item in waves?.0 {
        let number = item
            .key
            .rsplit('/')
            .next()
            .and_then(|number| number.parse().ok());
        match (number, decode_with(&item.key, &item.value)) {
            (Some(number), Ok((record, extension))) => {
                content
                    .waves
                    .insert(number, StoredWave { record, extension });
            }
            (_, Err(error)) => log::error!(event = "wave_record_unreadable", error:% = error; ""),
            (None, Ok(_)) => {
                log::error!(event = "wave_key_invalid", key = item.key.as_str(); "")
            }
        }
    }
    Ok(content)
}

/// Adds the records of a shard to the scheduler. Records of jobs that cannot be decoded
/// are logged and left out.
pub fn restore(engine: &mut JobEngine, content: ShardContent) {
    let time = TimePair {
        boot: boot_ms(),
        unix: unix_ms(),
    };
    let mut progress = HashMap::new();
    for item in content.progress {
        let id = item.key.rsplit('/').next().unwrap_or_default().to_owned();
        match decode_progress(&item.key, &item.value) {
            Ok(record) => {
                progress.insert(id, record);
            }
            Err(error) => log::error!(event = "job_record_unreadable", error:% = error; ""),
        }
    }
    for item in content.bodies {
        let id = item.key.rsplit('/').next().unwrap_or_default().to_owned();
        match decode_body(&item.key, &item.value) {
            Ok(body) => {
                let record = progress.remove(&id);
                engine.restore_job(id.as_str().into(), body, record, time);
            }
            Err(error) => log::error!(event = "job_record_unreadable", error:% = error; ""),
        }
    }
    for (id, record) in progress {
        if record.state.is_final() {
            engine.restore_ended(id.as_str().into(), &record, time);
        } else {
            log::error!(event = "job_body_missing", job = id.as_str(); "");
        }
    }
    if let Some(item) = content.unresponsive {
        let longest_ms = engine.settings.start_expiry_ms(time.boot);
        match UnresponsiveRecord::decode(&item.key, &item.value) {
            Ok(record) => engine.unresponsive.inherit(record, longest_ms, time.boot),
            // Without the record, the scheduler assumes the longest possible leases.
            Err(error) => {
                log::error!(event = "unresponsive_leases_unreadable", error:% = error; "")
            }
        }
    }
    if let Some(item) = content.permits {
        let (holder, wait_ms) = (
            engine.settings.holder.clone(),
            engine.settings.permit_wait_ms,
        );
        match PermitRecord::decode(&item.key, &item.value) {
            Ok(record) => engine.fleet.permits.inherit(record, &holder, wait_ms, time),
            Err(error) => {
                log::error!(event = "permits_unreadable", error:% = error; "");
                engine.fleet.permits.block_all(time.boot + wait_ms);
            }
        }
    }
    log::info!(
        event = "shard_loaded", jobs = engine.jobs.len(), ended = engine.ended.len(),
        waves = content.waves.len(); ""
    );
}
