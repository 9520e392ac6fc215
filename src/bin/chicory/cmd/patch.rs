//! `chicory patch`: submits a configuration patch from a file.

use std::path::PathBuf;

use bpaf::Bpaf;
use serde_json::Value;
use snafu::ResultExt;

use super::OperatorCommand;
use crate::entry::EntryError;
use crate::entry::ReadSnafu;
use crate::submission::new_patch_id;
use crate::submission::submit;

#[derive(Clone, Debug)]
#[derive(Bpaf)]
pub struct PatchOptions {
    /// Version that the patch was made against.
    #[bpaf(argument("N"))]
    base: u64,
    /// Why, for the audit trail.
    #[bpaf(argument("TEXT"))]
    reason: String,
    /// Identifier of an earlier submission of the same patch, to find out whether
    /// that was accepted.
    #[bpaf(argument("ID"), optional)]
    patch_id: Option<String>,
    /// File with the patch.
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

pub fn run(command: &OperatorCommand, options: &PatchOptions) -> Result<(), EntryError> {
    let file = &options.file;
    let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
    let patch: Value = serde_json::from_str(&text).map_err(|error| EntryError::Read {
        file: file.clone(),
        source: error.into(),
    })?;
    let patch_id = options.patch_id.clone().unwrap_or_else(new_patch_id);
    let submit_options = command.submit_options(&options.reason);
    let version = submit(submit_options, options.base, &patch, &patch_id)?;
    command.print_accepted(version);
    Ok(())
}
