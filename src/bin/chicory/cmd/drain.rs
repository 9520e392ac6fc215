//! `chicory drain` and `chicory undrain`: hold a VM out of service, or end that.

use serde_json::json;

use super::OperatorCommand;
use crate::entry::EntryError;
use crate::submission::submit_current;

/// Writes the reason of a hold, or removes it if `hold` is none.
pub fn run(
    command: &OperatorCommand,
    vm: &str,
    hold: Option<&str>,
    reason: &str,
) -> Result<(), EntryError> {
    let submit_options = command.submit_options(reason);
    let version = submit_current(submit_options, |_| Ok(json!({ "drains": { vm: hold } })))?;
    command.print_accepted(version);
    Ok(())
}
