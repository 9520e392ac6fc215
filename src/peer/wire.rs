//! Messages between entry VMs, encoded as MessagePack over HTTP.
//!
//! Structs are encoded as maps with field names, so that a field can be added
//! while entry VMs of two releases run side by side. Configuration documents are
//! transferred as JSON text.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use snafu::Snafu;

use crate::config::ConfigVersion;
use crate::config::VersionedConfig;
use crate::config::document::DocumentError;
use crate::decide::membership::EntryReport;
use crate::fleet::wire::FleetWire;
use crate::fleet::wire::RosterWire;
use crate::names::NameError;
use crate::peer::EntryAck;
use crate::peer::message::ConfigPatch;
use crate::peer::message::ConfigUpdate;
use crate::peer::message::DcSummary;
use crate::peer::message::LeaveRequest;
use crate::peer::message::PushAnswer;
use crate::peer::message::StateCopy;
use crate::peer::message::StatePush;

/// Media type of the messages.
pub const MSGPACK: &str = "application/msgpack";
/// Maximum message size, in bytes; the largest message contains a configuration
/// document, a fleet record and a roster.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Why a message could not be decoded.
#[derive(Debug)]
#[derive(Snafu)]
pub enum WireError {
    /// The body is not MessagePack with the expected fields.
    #[snafu(display("step=decode_message: not MessagePack with the expected fields: {source}"))]
    Decode {
        /// Position and cause.
        source: rmp_serde::decode::Error,
    },
    /// A name in the message is not valid.
    #[snafu(display("step=decode_message: {source}"))]
    Name {
        /// The name and what is accepted.
        source: NameError,
    },
    /// The document in the message is not JSON.
    #[snafu(display("step=decode_document: not JSON: {source}"))]
    Json {
        /// Position and cause.
        source: serde_json::Error,
    },
    /// The document in the message is not a valid configuration.
    #[snafu(display("step=decode_document: {source}"))]
    Document {
        /// Invalid values and references.
        source: DocumentError,
    },
}

impl From<NameError> for WireError {
    fn from(source: NameError) -> Self {
        Self::Name { source }
    }
}

/// Encodes the wire form of a message.
pub fn encode<W: Serialize>(wire: &W) -> Vec<u8> {
    // Cannot fail: the wire types contain only strings, numbers, maps and lists.
    rmp_serde::to_vec_named(wire).unwrap_or_default()
}

/// Decodes the wire form `W` of a message and converts it to `T`.
///
/// # Errors
///
/// Fails if the body is not MessagePack with the fields of `W`, or if a name or
/// configuration document in it is not valid.
pub fn decode<W, T>(body: &[u8]) -> Result<T, WireError>
where
    W: DeserializeOwned,
    T: TryFrom<W, Error = WireError>,
{
    let wire: W = rmp_serde::from_slice(body).context(DecodeSnafu)?;
    T::try_from(wire)
}

/// Wire form of [`StatePush`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct PushWire {
    pub dc: String,
    pub controller: SocketAddr,
    pub config: Option<ConfigWire>,
    pub fleet: Option<FleetWire>,
    pub roster: Option<RosterWire>,
}

/// Wire form of [`ConfigUpdate`]: the full document if `base` is absent, else a patch.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ConfigWire {
    pub version: ConfigVersion,
    pub base: Option<ConfigVersion>,
    pub json: String,
    pub digest: String,
}

/// Wire form of [`PushAnswer`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct AnswerWire {
    pub dc: String,
    pub name: String,
    pub entry_address: SocketAddr,
    pub control_address: SocketAddr,
    pub incarnation: u64,
    pub config_version: ConfigVersion,
    pub fleet_sequence: u64,
    pub generation: u64,
    pub in_use: BTreeMap<String, u32>,
}

/// Wire form of [`StateCopy`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct CopyWire {
    pub age_ms: u64,
    pub config: Option<ConfigWire>,
    pub fleet: Option<FleetWire>,
    pub roster: Option<RosterWire>,
}

/// Wire form of [`DcSummary`].
#[derive(Clone, Debug, Hash)]
#[derive(Serialize, Deserialize)]
pub struct SummaryWire {
    pub dc: String,
    pub config_version: ConfigVersion,
    pub entries: BTreeMap<String, SocketAddr>,
    pub slots: BTreeMap<String, u32>,
}

/// Wire form of [`LeaveRequest`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct LeaveWire {
    pub name: String,
    pub incarnation: u64,
}

impl From<&StatePush> for PushWire {
    fn from(push: &StatePush) -> Self {
        Self {
            dc: push.dc.to_string(),
            controller: push.controller,
            config: push.config.as_ref().map(Into::into),
            fleet: push.fleet.as_deref().map(Into::into),
            roster: push.roster.as_ref().map(Into::into),
        }
    }
}

impl TryFrom<PushWire> for StatePush {
    type Error = WireError;

    fn try_from(wire: PushWire) -> Result<Self, WireError> {
        Ok(Self {
            dc: wire.dc.parse()?,
            controller: wire.controller,
            config: wire.config.map(TryInto::try_into).transpose()?,
            fleet: wire.fleet.map(TryInto::try_into).transpose()?.map(Arc::new),
            roster: wire.roster.map(TryInto::try_into).transpose()?,
        })
    }
}

impl From<&VersionedConfig> for ConfigWire {
    fn from(config: &VersionedConfig) -> Self {
        Self {
            version: config.version,
            base: None,
            json: config.document.to_string(),
            digest: config.digest(),
        }
    }
}

impl From<&ConfigUpdate> for ConfigWire {
    fn from(update: &ConfigUpdate) -> Self {
        match update {
            ConfigUpdate::Full(config) => config.as_ref().into(),
            ConfigUpdate::Patch(patch) => Self {
                version: patch.version,
                base: Some(patch.base),
                json: patch.patch.to_string(),
                digest: patch.digest.clone(),
            },
        }
    }
}

impl TryFrom<ConfigWire> for ConfigUpdate {
    type Error = WireError;

    fn try_from(wire: ConfigWire) -> Result<Self, WireError> {
        let value = serde_json::from_str(&wire.json).context(JsonSnafu)?;
        let Some(base) = wire.base else {
            let config = VersionedConfig::new(wire.version, value);
            return Ok(Self::Full(Arc::new(config.context(DocumentSnafu)?)));
        };
        Ok(Self::Patch(ConfigPatch {
            base,
            version: wire.version,
            patch: value,
            digest: wire.digest,
        }))
    }
}

impl From<&PushAnswer> for AnswerWire {
    fn from(answer: &PushAnswer) -> Self {
        let report = &answer.report;
        let in_use = report.ack.in_use.iter();
        Self {
            dc: answer.dc.to_string(),
            name: answer.name.to_string(),
            entry_address: report.entry_address,
            control_address: report.control_address,
            incarnation: report.incarnation,
            config_version: report.ack.config_version,
            fleet_sequence: report.ack.fleet_sequence,
            generation: report.ack.generation,
            in_use: in_use.map(|(vm, count)| (vm.to_string(), *count)).collect(),
        }
    }
}

impl TryFrom<AnswerWire> for PushAnswer {
    type Error = WireError;

    fn try_from(wire: AnswerWire) -> Result<Self, WireError> {
        let in_use = wire.in_use.into_iter();
        let in_use = in_use.map(|(vm, count)| Ok((vm.parse()?, count)));
        Ok(Self {
            dc: wire.dc.parse()?,
            name: wire.name.parse()?,
            report: EntryReport {
                entry_address: wire.entry_address,
                control_address: wire.control_address,
                incarnation: wire.incarnation,
                ack: EntryAck {
                    config_version: wire.config_version,
                    fleet_sequence: wire.fleet_sequence,
                    generation: wire.generation,
                    in_use: in_use.collect::<Result<_, NameError>>()?,
                },
            },
        })
    }
}

impl From<&StateCopy> for CopyWire {
    fn from(copy: &StateCopy) -> Self {
        Self {
            age_ms: copy.age_ms,
            config: copy.config.as_deref().map(Into::into),
            fleet: copy.fleet.as_deref().map(Into::into),
            roster: copy.roster.as_ref().map(Into::into),
        }
    }
}

impl TryFrom<CopyWire> for StateCopy {
    type Error = WireError;

    fn try_from(wire: CopyWire) -> Result<Self, WireError> {
        let config = wire.config.map(ConfigUpdate::try_from).transpose()?;
        Ok(Self {
            age_ms: wire.age_ms,
            config: config.and_then(|update| match update {
                ConfigUpdate::Full(config) => Some(config),
                ConfigUpdate::Patch(_) => None,
            }),
            fleet: wire.fleet.map(TryInto::try_into).transpose()?.map(Arc::new),
            roster: wire.roster.map(TryInto::try_into).transpose()?,
        })
    }
}

impl From<&DcSummary> for SummaryWire {
    fn from(summary: &DcSummary) -> Self {
        let entries = summary.entries.iter();
        let slots = summary.slots.iter();
        Self {
            dc: summary.dc.to_string(),
            config_version: summary.config_version,
            entries: entries.map(|(name, at)| (name.to_string(), *at)).collect(),
            slots: slots.map(|(pool, n)| (pool.to_string(), *n)).collect(),
        }
    }
}

impl TryFrom<SummaryWire> for DcSummary {
    type Error = WireError;

    fn try_from(wire: SummaryWire) -> Result<Self, WireError> {
        let entries = wire.entries.into_iter();
        let entries = entries.map(|(name, at)| Ok((name.parse()?, at)));
        let slots = wire.slots.into_iter();
        let slots = slots.map(|(pool, n)| Ok((pool.parse()?, n)));
        Ok(Self {
            dc: wire.dc.parse()?,
            config_version: wire.config_version,
            entries: entries.collect::<Result<_, NameError>>()?,
            slots: slots.collect::<Result<_, NameError>>()?,
        })
    }
}

impl From<&LeaveRequest> for LeaveWire {
    fn from(request: &LeaveRequest) -> Self {
        Self {
            name: request.name.to_string(),
            incarnation: request.incarnation,
        }
    }
}

impl TryFrom<LeaveWire> for LeaveRequest {
    type Error = WireError;

    fn try_from(wire: LeaveWire) -> Result<Self, WireError> {
        Ok(Self {
            name: wire.name.parse()?,
            incarnation: wire.incarnation,
        })
    }
}
