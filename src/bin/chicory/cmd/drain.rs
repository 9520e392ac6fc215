//! `chicory drain` and `chicory undrain`: take a VM out of service or return it.

use serde_json::json;

use super::OperatorCommand;
use crate::entry::EntryError;
use crate::submission::submit_current;

/// Drains a VM with the given reason, or ends its drain if `drain_reason` is none.
pub fn run(
    command: &OperatorCommand,
    vm: &str,
    drain_reason: Option<&str>,
    reason: &str,
) -> Result<(), EntryError> {
    let submit_options = command.submit_options(reason);
    let version = submit_current(submit_options, |_| {
        Ok(json!({ "drains": { vm: drain_reason } }))
    })?;
    command.print_accepted(version);
    Ok(())
}
