//! Reads and writes fleet records, ledgers and rosters in the platform's key-value
//! store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use snafu::ResultExt;

use super::DecodeSnafu;
use super::FleetError;
use super::NameSnafu;
use super::PlatformSnafu;
use crate::decide::controller::WriteOutcome;
use crate::fleet::EntryRoster;
use crate::fleet::FleetRecord;
use crate::fleet::PoolLedger;
use crate::fleet::wire::FleetWire;
use crate::fleet::wire::LedgerWire;
use crate::fleet::wire::RosterWire;
use crate::names::DcName;
use crate::names::PoolName;
use crate::names::VmName;
use crate::platform::KeyValue;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;

/// Prefix of the keys of ledgers.
const LEDGER_PREFIX: &str = "ledger/";
/// Prefix of the keys of rosters.
const ROSTER_PREFIX: &str = "entries/";

/// A record and the revision at which it was read.
#[derive(Clone, Debug, Default)]
pub(super) struct StoredRecord {
    pub record: FleetRecord,
    pub revision: u64,
}

/// Ledgers by pool and the revisions at which they were read.
#[derive(Clone, Debug, Default)]
pub(super) struct StoredLedgers {
    pub ledgers: BTreeMap<PoolName, PoolLedger>,
    pub revisions: BTreeMap<PoolName, u64>,
}

pub(super) fn fleet_key(dc: &DcName) -> String {
    format!("fleet/{dc}")
}

pub(super) fn decode_record(value: &KeyValue) -> Result<FleetRecord, FleetError> {
    let key = &value.key;
    let wire: FleetWire = serde_json::from_slice(&value.value).context(DecodeSnafu { key })?;
    FleetRecord::try_from(wire).context(NameSnafu { key })
}

/// Reads the record of a data centre. Returns an empty one if none is stored.
pub(super) async fn read_record(
    client: &PlatformClient,
    dc: &DcName,
) -> Result<StoredRecord, FleetError> {
    let value = client.get(&fleet_key(dc)).await.context(PlatformSnafu)?;
    let Some(value) = value else {
        return Ok(StoredRecord::default());
    };
    Ok(StoredRecord {
        record: decode_record(&value)?,
        revision: value.revision,
    })
}

/// Replaces the record if it is still at `revision`.
///
/// The outcome is only logged. The caller must read the record again, which also
/// shows whether a write of unknown result took effect.
pub(super) async fn write_record(
    client: &PlatformClient,
    dc: &DcName,
    revision: u64,
    record: &FleetRecord,
) -> Result<(), FleetError> {
    let key = fleet_key(dc);
    let value = serde_json::to_vec(&FleetWire::from(record)).context(DecodeSnafu { key: &key })?;
    let result = write_outcome(client.compare_and_swap(&key, revision, value).await)?;
    let outcome = match result {
        WriteOutcome::Written => "written",
        WriteOutcome::Conflict => "conflict",
        WriteOutcome::Unknown => "unknown",
    };
    log::info!(
        event = "fleet_write", epoch = record.epoch, sequence = record.sequence,
        outcome = outcome; ""
    );
    Ok(())
}

/// Reads the ledgers of all pools in one call.
pub(super) async fn read_ledgers(client: &PlatformClient) -> Result<StoredLedgers, FleetError> {
    let values = client.list(LEDGER_PREFIX).await.context(PlatformSnafu)?;
    let mut stored = StoredLedgers::default();
    for value in values {
        let key = &value.key;
        let pool = key.trim_start_matches(LEDGER_PREFIX);
        let pool: PoolName = pool.parse().context(NameSnafu { key })?;
        let wire: LedgerWire = serde_json::from_slice(&value.value).context(DecodeSnafu { key })?;
        let ledger = PoolLedger::try_from(wire).context(NameSnafu { key })?;
        stored.revisions.insert(pool.clone(), value.revision);
        stored.ledgers.insert(pool, ledger);
    }
    Ok(stored)
}

/// Replaces a ledger if it is still at the revision in `stored`.
pub(super) async fn write_ledger(
    client: &PlatformClient,
    stored: &StoredLedgers,
    pool: &PoolName,
    ledger: &PoolLedger,
) -> Result<WriteOutcome, FleetError> {
    let key = format!("{LEDGER_PREFIX}{pool}");
    let revision = stored.revisions.get(pool).copied().unwrap_or(0);
    let value = serde_json::to_vec(&LedgerWire::from(ledger)).context(DecodeSnafu { key: &key })?;
    write_outcome(client.compare_and_swap(&key, revision, value).await)
}

/// Returns the outcome of a compare-and-swap; an error if the platform answered with
/// an error status.
fn write_outcome(result: Result<bool, PlatformError>) -> Result<WriteOutcome, FleetError> {
    match result {
        Ok(true) => Ok(WriteOutcome::Written),
        Ok(false) => Ok(WriteOutcome::Conflict),
        Err(error @ PlatformError::Refused { .. }) => Err(error).context(PlatformSnafu),
        Err(error) => {
            log::warn!(event = "write_result_unknown", error:% = error; "");
            Ok(WriteOutcome::Unknown)
        }
    }
}

/// Reads the rosters of all data centres in one call.
pub(super) async fn read_rosters(
    client: &PlatformClient,
) -> Result<BTreeMap<DcName, EntryRoster>, FleetError> {
    let values = client.list(ROSTER_PREFIX).await.context(PlatformSnafu)?;
    let mut rosters = BTreeMap::new();
    for value in values {
        let key = &value.key;
        let dc = key.trim_start_matches(ROSTER_PREFIX);
        let dc = dc.parse().context(NameSnafu { key })?;
        let wire: RosterWire = serde_json::from_slice(&value.value).context(DecodeSnafu { key })?;
        let roster = EntryRoster::try_from(wire).context(NameSnafu { key })?;
        rosters.insert(dc, roster);
    }
    Ok(rosters)
}

/// Reads the names of the VMs in a data centre's fleet record.
pub(super) async fn read_vms(
    client: &PlatformClient,
    dc: &DcName,
) -> Result<BTreeSet<VmName>, FleetError> {
    let stored = read_record(client, dc).await?;
    Ok(stored.record.vms.into_keys().collect())
}
