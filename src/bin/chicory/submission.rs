//! Submits configuration patches and retries where that is safe.

use std::net::SocketAddr;

use chicorygauge::service::control::wire::ConfigWire;
use chicorygauge::service::control::wire::PatchResponseWire;
use chicorygauge::service::control::wire::PatchWire;
use hyper::Method;
use serde_json::Value;

use crate::entry::EntryError;
use crate::entry::decode;
use crate::entry::read;
use crate::entry::request;

/// Max number of times that a patch is sent while its result is unknown. It is accepted
/// at most once, since each attempt has the same patch identifier.
const MAX_SENDS: usize = 3;
/// Max number of times that a patch is resubmitted against a later version.
const MAX_REBASES: usize = 16;

/// Options that all patch submissions share.
#[derive(Clone, Copy, Debug)]
pub struct SubmitOptions<'a> {
    /// Control address of the entry VM.
    pub peer: SocketAddr,
    /// Operator's name for the audit trail; the login name if none.
    pub author: Option<&'a str>,
    /// Reason for the audit trail.
    pub reason: &'a str,
}

/// Returns a random patch identifier.
pub fn new_patch_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Submits a patch against version `base` and returns the version that it creates.
pub fn submit(
    options: SubmitOptions<'_>,
    base: u64,
    patch: &Value,
    patch_id: &str,
) -> Result<u64, EntryError> {
    let login = std::env::var("USER").unwrap_or_else(|_| "operator".to_owned());
    let wire = PatchWire {
        base,
        patch: patch.clone(),
        author: options.author.map_or(login, str::to_owned),
        reason: options.reason.to_owned(),
        patch_id: patch_id.to_owned(),
    };
    let body = serde_json::to_value(wire).unwrap_or_default();
    let peer = options.peer;
    let mut sends = 0;
    loop {
        sends += 1;
        let error = match request(peer, Method::POST, "/v1/config/patch", Some(&body)) {
            Ok(response) => {
                let response: PatchResponseWire = decode(peer, &response)?;
                return Ok(response.version);
            }
            Err(error) => error,
        };
        if !may_be_accepted(&error) {
            return Err(error);
        }
        if sends == MAX_SENDS {
            return Err(EntryError::Unknown {
                peer,
                base,
                patch_id: patch_id.to_owned(),
                error: error.to_string(),
            });
        }
    }
}

/// Returns true if a patch may have been accepted despite the error.
fn may_be_accepted(error: &EntryError) -> bool {
    match error {
        EntryError::Call { source } => {
            !matches!(source, chicorygauge::http::CallError::Connect { .. })
        }
        EntryError::Refused { body, .. } => body.unknown.is_some(),
        _ => false,
    }
}

/// Submits a patch against the current version; resubmits it if patches to other fields
/// were accepted in the meantime.
///
/// `build_patch` is called once with the current configuration.
pub fn submit_current(
    options: SubmitOptions<'_>,
    build_patch: impl Fn(&Value) -> Result<Value, EntryError>,
) -> Result<u64, EntryError> {
    let current: ConfigWire = decode(options.peer, &read(options.peer, "/v1/config")?)?;
    let patch = build_patch(&current.document)?;
    let mut base = current.version;
    let mut rebases = 0;
    loop {
        let refusal = match submit(options, base, &patch, &new_patch_id()) {
            Err(EntryError::Refused { peer, status, body }) => (peer, status, body),
            result => return result,
        };
        let (peer, status, body) = refusal;
        let no_conflict = body.fields.as_ref().is_some_and(Vec::is_empty);
        match body.current {
            Some(current) if no_conflict && rebases < MAX_REBASES => base = current,
            _ => return Err(EntryError::Refused { peer, status, body }),
        }
        rebases += 1;
    }
}
