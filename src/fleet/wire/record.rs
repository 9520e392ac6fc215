//! JSON forms of fleet records.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::fleet::DrainPurpose;
use crate::fleet::FleetRecord;
use crate::fleet::VmRecord;
use crate::fleet::VmState;
use crate::fleet::WaveProgress;
use crate::names::NameError;

use super::OutboxWire;

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
