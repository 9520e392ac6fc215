//! `chicory patch`: submits a patch.

use std::path::Path;

use chicorygauge::service::control::wire::PatchWire;
use hyper::Method;
use serde_json::Value;
use snafu::ResultExt;

use super::OperatorCommand;
use crate::entry::EntryError;
use crate::entry::ReadSnafu;
use crate::entry::request;

pub fn run(
    command: &OperatorCommand,
    base: u64,
    reason: &str,
    author: Option<&str>,
    file: &Path,
) -> Result<(), EntryError> {
    let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
    let patch: Value = serde_json::from_str(&text).map_err(|error| EntryError::Read {
        file: file.to_owned(),
        source: error.into(),
    })?;
    let login = std::env::var("USER").unwrap_or_else(|_| "operator".to_owned());
    let wire = PatchWire {
        base,
        patch,
        author: author.map_or(login, str::to_owned),
        reason: reason.to_owned(),
        patch_id: format!("{:032x}", rand::random::<u128>()),
    };
    let body = serde_json::to_value(wire).unwrap_or_default();
    let answer = request(command.entry, Method::POST, "/v1/config/patch", Some(&body))?;
    if command.json {
        println!("{answer}");
    } else {
        println!("version {} accepted", answer["version"]);
    }
    Ok(())
}
