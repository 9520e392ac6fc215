//! JSON forms of the operators' interface.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::config::store::PatchRequest;

/// A patch as an operator submits it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PatchWire {
    pub base: u64,
    pub patch: Value,
    pub author: String,
    pub reason: String,
    pub patch_id: String,
}

impl From<PatchWire> for PatchRequest {
    fn from(wire: PatchWire) -> Self {
        Self {
            base: wire.base,
            patch: wire.patch,
            author: wire.author,
            reason: wire.reason,
            patch_id: wire.patch_id,
        }
    }
}

/// Answer to an accepted patch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PatchAnswerWire {
    pub version: u64,
}

/// State of one entry VM.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusWire {
    pub name: String,
    pub dc: String,
    pub config_version: u64,
    pub fleet_sequence: u64,
    pub vms: usize,
}

/// An error for an operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorWire {
    pub error: String,
}
