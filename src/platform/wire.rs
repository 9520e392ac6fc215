//! JSON types of the platform's HTTP interfaces.

use std::net::SocketAddr;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

use crate::names::NameError;
use crate::platform::KeyValue;
use crate::platform::ListedVm;
use crate::platform::OperationState;

/// Header with the latest revision that a response of the key-value service reflects.
pub const INDEX_HEADER: &str = "x-consul-index";

/// A key and its value in a response of the key-value service.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ValueWire {
    pub key: String,
    pub modify_index: u64,
    /// The value in base64; none if the value is empty.
    pub value: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<String>,
}

/// Request to create a session.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SessionWire {
    pub name: String,
    #[serde(rename = "TTL")]
    pub ttl: String,
    pub behavior: String,
    pub lock_delay: String,
}

/// Response to the creation of a session.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct SessionIdWire {
    #[serde(rename = "ID")]
    pub id: String,
}

/// A VM in the platform's list.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct ListedVmWire {
    pub name: String,
    pub dc: String,
    pub rack: String,
    pub address: SocketAddr,
    pub leaving: bool,
}

/// Request to start an operation on a VM.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct OperationWire {
    pub kind: String,
}

/// State of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProgressWire {
    Running,
    Done,
    Failed,
}

/// Response with the state of an operation.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
pub struct OperationStateWire {
    pub state: ProgressWire,
}

/// A value that is not valid base64.
#[derive(Debug)]
#[derive(Snafu)]
#[snafu(display("value of {key}: {source}"))]
pub struct ValueError {
    key: String,
    source: base64::DecodeError,
}

impl TryFrom<ValueWire> for KeyValue {
    type Error = ValueError;

    fn try_from(wire: ValueWire) -> Result<Self, ValueError> {
        let key = wire.key;
        let value = STANDARD.decode(wire.value.unwrap_or_default());
        let value = value.context(ValueSnafu { key: &key })?;
        Ok(Self {
            key,
            revision: wire.modify_index,
            value,
        })
    }
}

impl TryFrom<ListedVmWire> for ListedVm {
    type Error = NameError;

    fn try_from(wire: ListedVmWire) -> Result<Self, NameError> {
        Ok(Self {
            name: wire.name.parse()?,
            dc: wire.dc.parse()?,
            rack: wire.rack.parse()?,
            address: wire.address,
            leaving: wire.leaving,
        })
    }
}

impl From<ProgressWire> for OperationState {
    fn from(wire: ProgressWire) -> Self {
        match wire {
            ProgressWire::Running => Self::Running,
            ProgressWire::Done => Self::Done,
            ProgressWire::Failed => Self::Failed,
        }
    }
}
