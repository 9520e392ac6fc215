//! Submitting patches, with repetitions where these are safe.

use std::net::SocketAddr;

use chicorygauge::service::control::wire::ConfigWire;
use chicorygauge::service::control::wire::PatchAnswerWire;
use chicorygauge::service::control::wire::PatchWire;
use hyper::Method;
use serde_json::Value;

use crate::entry::EntryError;
use crate::entry::decode;
use crate::entry::read;
use crate::entry::request;

/// Times that a patch is sent if no whole answer comes; it is accepted once at most.
const MAX_SENDS: usize = 3;
/// Times that a patch is made anew against a later version.
const MAX_REBASES: usize = 16;

/// What every submission states.
#[derive(Clone, Copy, Debug)]
pub struct SubmitOptions<'a> {
    /// Entry VM.
    pub peer: SocketAddr,
    /// Operator; the login if none.
    pub author: Option<&'a str>,
    /// Why.
    pub reason: &'a str,
}

/// Returns a new identifier of a patch.
pub fn new_patch_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Submits a patch against a version and returns the version that it yields.
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
            Ok(answer) => {
                let answer: PatchAnswerWire = decode(peer, &answer)?;
                return Ok(answer.version);
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

/// Tells whether a patch may have been accepted in spite of the error.
fn may_be_accepted(error: &EntryError) -> bool {
    match error {
        EntryError::Call { source } => {
            !matches!(source, chicorygauge::http::CallError::Connect { .. })
        }
        EntryError::Refused { body, .. } => body.unknown.is_some(),
        _ => false,
    }
}

/// Submits a patch against the current version, again if a patch that touches
/// other fields was first.
///
/// `build_patch` gets the current configuration.
pub fn submit_current(
    options: SubmitOptions<'_>,
    build_patch: impl Fn(&Value) -> Result<Value, EntryError>,
) -> Result<u64, EntryError> {
    let current: ConfigWire = decode(options.peer, &read(options.peer, "/v1/config")?)?;
    let patch = build_patch(&current.document)?;
    let mut base = current.version;
    let mut rebases = 0;
    loop {
        let error = match submit(options, base, &patch, &new_patch_id()) {
            Err(EntryError::Refused { peer, status, body }) => (peer, status, body),
            result => return result,
        };
        let (peer, status, body) = error;
        let no_conflict = body.fields.as_ref().is_some_and(Vec::is_empty);
        match body.current {
            Some(current) if no_conflict && rebases < MAX_REBASES => base = current,
            _ => return Err(EntryError::Refused { peer, status, body }),
        }
        rebases += 1;
    }
}
