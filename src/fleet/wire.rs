//! JSON forms of the records kept in the platform's service.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::audit::AuditOutbox;
use crate::audit::AuditRow;
use crate::fleet::DrainPurpose;
use crate::fleet::EntryRecord;
use crate::fleet::EntryRoster;
use crate::fleet::FleetRecord;
use crate::fleet::LedgerRow;
use crate::fleet::OutageCause;
use crate::fleet::PoolLedger;
use crate::fleet::VmRecord;
use crate::fleet::VmState;
use crate::fleet::WaveProgress;
use crate::names::NameError;

/// JSON form of [`FleetRecord`].
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct FleetWire {
    pub epoch: u64,
    #[serde(default)]
    pub nonce: u64,
    pub sequence: u64,
    pub vms: BTreeMap<String, VmWire>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub unfinished: BTreeMap<String, String>,
    #[serde(default)]
    pub config_version: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wave: Option<WaveProgressWire>,
    #[serde(default)]
    pub outbox: OutboxWire,
}

/// JSON form of [`VmRecord`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct VmWire {
    pub pool: String,
    pub address: SocketAddr,
    pub rack: String,
    pub state: StateWire,
    pub since_ms: u64,
    pub maintained_ms: u64,
}

/// JSON form of [`VmState`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StateWire {
    Serving,
    DrainingToMaintain(String),
    DrainingToMove(String),
    DrainingToHold,
    DrainingToLeave,
    Stopped(String),
    Failed,
    Held,
}

/// JSON form of [`WaveProgress`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct WaveProgressWire {
    pub id: String,
    #[serde(default)]
    pub since_ms: u64,
    pub started: u32,
    pub returned: u32,
    pub failed: u32,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stopped: Option<String>,
    #[serde(default)]
    pub ended: bool,
}

/// JSON form of [`AuditOutbox`].
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct OutboxWire {
    pub last_sequence: u64,
    pub last_digest: String,
    pub rows: Vec<AuditWire>,
}

/// JSON form of [`AuditRow`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct AuditWire {
    pub sequence: u64,
    pub time_ms: u64,
    pub author: String,
    pub subject: String,
    pub action: String,
    pub from: String,
    pub to: String,
    pub reason: String,
    pub digest: String,
}

/// JSON form of [`PoolLedger`].
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct LedgerWire {
    pub rows: BTreeMap<String, LedgerRowWire>,
}

/// JSON form of [`LedgerRow`]; a row without an operation tells of a failure.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct LedgerRowWire {
    pub dc: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<String>,
    pub since_ms: u64,
}

/// JSON form of [`EntryRoster`].
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub struct RosterWire {
    pub generation: u64,
    pub places: u32,
    pub next_places: u32,
    pub refreshed_ms: u64,
    pub entries: BTreeMap<String, EntryWire>,
}

/// JSON form of [`EntryRecord`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct EntryWire {
    pub entry_address: SocketAddr,
    pub control_address: SocketAddr,
    pub incarnation: u64,
    pub place: Option<u32>,
    pub next: Option<u32>,
    pub config_version: u64,
    pub fleet_sequence: u64,
}

impl From<&FleetRecord> for FleetWire {
    fn from(record: &FleetRecord) -> Self {
        let vms = record.vms.iter();
        let unfinished = record.unfinished.iter();
        Self {
            epoch: record.epoch,
            nonce: record.nonce,
            sequence: record.sequence,
            vms: vms
                .map(|(name, vm)| (name.to_string(), vm.into()))
                .collect(),
            unfinished: unfinished
                .map(|(vm, operation)| (vm.to_string(), operation.to_string()))
                .collect(),
            config_version: record.config_version,
            wave: record.wave.as_ref().map(Into::into),
            outbox: (&record.outbox).into(),
        }
    }
}

impl TryFrom<FleetWire> for FleetRecord {
    type Error = NameError;

    fn try_from(wire: FleetWire) -> Result<Self, NameError> {
        let vms = wire.vms.into_iter();
        let vms = vms.map(|(name, vm)| Ok((name.parse()?, vm.try_into()?)));
        let unfinished = wire.unfinished.into_iter();
        let unfinished = unfinished.map(|(vm, operation)| Ok((vm.parse()?, operation.parse()?)));
        Ok(Self {
            epoch: wire.epoch,
            nonce: wire.nonce,
            sequence: wire.sequence,
            vms: vms.collect::<Result<_, NameError>>()?,
            unfinished: unfinished.collect::<Result<_, NameError>>()?,
            config_version: wire.config_version,
            wave: wire.wave.map(Into::into),
            outbox: wire.outbox.into(),
        })
    }
}

impl From<&VmRecord> for VmWire {
    fn from(vm: &VmRecord) -> Self {
        Self {
            pool: vm.pool.to_string(),
            address: vm.address,
            rack: vm.rack.to_string(),
            state: (&vm.state).into(),
            since_ms: vm.since_ms,
            maintained_ms: vm.maintained_ms,
        }
    }
}

impl TryFrom<VmWire> for VmRecord {
    type Error = NameError;

    fn try_from(wire: VmWire) -> Result<Self, NameError> {
        Ok(Self {
            pool: wire.pool.parse()?,
            address: wire.address,
            rack: wire.rack.parse()?,
            state: wire.state.try_into()?,
            since_ms: wire.since_ms,
            maintained_ms: wire.maintained_ms,
        })
    }
}

impl From<&VmState> for StateWire {
    fn from(state: &VmState) -> Self {
        match state {
            VmState::Serving => Self::Serving,
            VmState::Draining(DrainPurpose::Maintain(operation)) => {
                Self::DrainingToMaintain(operation.to_string())
            }
            VmState::Draining(DrainPurpose::Move(pool)) => Self::DrainingToMove(pool.to_string()),
            VmState::Draining(DrainPurpose::Hold) => Self::DrainingToHold,
            VmState::Draining(DrainPurpose::Leave) => Self::DrainingToLeave,
            VmState::Stopped(operation) => Self::Stopped(operation.to_string()),
            VmState::Failed => Self::Failed,
            VmState::Held => Self::Held,
        }
    }
}

impl TryFrom<StateWire> for VmState {
    type Error = NameError;

    fn try_from(wire: StateWire) -> Result<Self, NameError> {
        Ok(match wire {
            StateWire::Serving => Self::Serving,
            StateWire::DrainingToMaintain(operation) => {
                Self::Draining(DrainPurpose::Maintain(operation.parse()?))
            }
            StateWire::DrainingToMove(pool) => Self::Draining(DrainPurpose::Move(pool.parse()?)),
            StateWire::DrainingToHold => Self::Draining(DrainPurpose::Hold),
            StateWire::DrainingToLeave => Self::Draining(DrainPurpose::Leave),
            StateWire::Stopped(operation) => Self::Stopped(operation.parse()?),
            StateWire::Failed => Self::Failed,
            StateWire::Held => Self::Held,
        })
    }
}

impl From<&WaveProgress> for WaveProgressWire {
    fn from(wave: &WaveProgress) -> Self {
        Self {
            id: wave.id.clone(),
            since_ms: wave.since_ms,
            started: wave.started,
            returned: wave.returned,
            failed: wave.failed,
            stopped: wave.stopped.clone(),
            ended: wave.ended,
        }
    }
}

impl From<WaveProgressWire> for WaveProgress {
    fn from(wire: WaveProgressWire) -> Self {
        Self {
            id: wire.id,
            since_ms: wire.since_ms,
            started: wire.started,
            returned: wire.returned,
            failed: wire.failed,
            stopped: wire.stopped,
            ended: wire.ended,
        }
    }
}

impl From<&AuditOutbox> for OutboxWire {
    fn from(outbox: &AuditOutbox) -> Self {
        Self {
            last_sequence: outbox.last_sequence,
            last_digest: outbox.last_digest.clone(),
            rows: outbox.rows.iter().map(Into::into).collect(),
        }
    }
}

impl From<OutboxWire> for AuditOutbox {
    fn from(wire: OutboxWire) -> Self {
        Self {
            last_sequence: wire.last_sequence,
            last_digest: wire.last_digest,
            rows: wire.rows.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<&AuditRow> for AuditWire {
    fn from(row: &AuditRow) -> Self {
        let row = row.clone();
        Self {
            sequence: row.sequence,
            time_ms: row.time_ms,
            author: row.author,
            subject: row.subject,
            action: row.action,
            from: row.from,
            to: row.to,
            reason: row.reason,
            digest: row.digest,
        }
    }
}

impl From<AuditWire> for AuditRow {
    fn from(wire: AuditWire) -> Self {
        Self {
            sequence: wire.sequence,
            time_ms: wire.time_ms,
            author: wire.author,
            subject: wire.subject,
            action: wire.action,
            from: wire.from,
            to: wire.to,
            reason: wire.reason,
            digest: wire.digest,
        }
    }
}

impl From<&PoolLedger> for LedgerWire {
    fn from(ledger: &PoolLedger) -> Self {
        let rows = ledger.rows.iter();
        Self {
            rows: rows.map(|(vm, row)| (vm.to_string(), row.into())).collect(),
        }
    }
}

impl TryFrom<LedgerWire> for PoolLedger {
    type Error = NameError;

    fn try_from(wire: LedgerWire) -> Result<Self, NameError> {
        let rows = wire.rows.into_iter();
        let rows = rows.map(|(vm, row)| Ok((vm.parse()?, row.try_into()?)));
        Ok(Self {
            rows: rows.collect::<Result<_, NameError>>()?,
        })
    }
}

impl From<&LedgerRow> for LedgerRowWire {
    fn from(row: &LedgerRow) -> Self {
        let operation = match &row.cause {
            OutageCause::Planned(operation) => Some(operation.to_string()),
            OutageCause::Failed => None,
        };
        Self {
            dc: row.dc.to_string(),
            operation,
            since_ms: row.since_ms,
        }
    }
}

impl TryFrom<LedgerRowWire> for LedgerRow {
    type Error = NameError;

    fn try_from(wire: LedgerRowWire) -> Result<Self, NameError> {
        let cause = match wire.operation {
            Some(operation) => OutageCause::Planned(operation.parse()?),
            None => OutageCause::Failed,
        };
        Ok(Self {
            dc: wire.dc.parse()?,
            cause,
            since_ms: wire.since_ms,
        })
    }
}

impl From<&EntryRoster> for RosterWire {
    fn from(roster: &EntryRoster) -> Self {
        let entries = roster.entries.iter();
        Self {
            generation: roster.generation,
            places: roster.places,
            next_places: roster.next_places,
            refreshed_ms: roster.refreshed_ms,
            entries: entries
                .map(|(name, entry)| (name.to_string(), entry.into()))
                .collect(),
        }
    }
}

impl TryFrom<RosterWire> for EntryRoster {
    type Error = NameError;

    fn try_from(wire: RosterWire) -> Result<Self, NameError> {
        let entries = wire.entries.into_iter();
        let entries = entries.map(|(name, entry)| Ok((name.parse()?, entry.into())));
        Ok(Self {
            generation: wire.generation,
            places: wire.places,
            next_places: wire.next_places,
            refreshed_ms: wire.refreshed_ms,
            entries: entries.collect::<Result<_, NameError>>()?,
        })
    }
}

impl From<&EntryRecord> for EntryWire {
    fn from(entry: &EntryRecord) -> Self {
        Self {
            entry_address: entry.entry_address,
            control_address: entry.control_address,
            incarnation: entry.incarnation,
            place: entry.place,
            next: entry.next,
            config_version: entry.config_version,
            fleet_sequence: entry.fleet_sequence,
        }
    }
}

impl From<EntryWire> for EntryRecord {
    fn from(wire: EntryWire) -> Self {
        Self {
            entry_address: wire.entry_address,
            control_address: wire.control_address,
            incarnation: wire.incarnation,
            place: wire.place,
            next: wire.next,
            config_version: wire.config_version,
            fleet_sequence: wire.fleet_sequence,
        }
    }
}
