//! `chicory status`: shows the state of an entry VM.

use hyper::Method;

use super::OperatorCommand;
use crate::entry::EntryError;
use crate::entry::request;

pub fn run(command: &OperatorCommand) -> Result<(), EntryError> {
    let answer = request(command.entry, Method::GET, "/v1/status", None)?;
    if command.json {
        println!("{answer}");
        return Ok(());
    }
    for (key, value) in answer.as_object().into_iter().flatten() {
        println!("{key:16} {value}");
    }
    Ok(())
}
