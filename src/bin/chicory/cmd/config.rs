//! `chicory config`: shows the configuration in force.

use hyper::Method;

use super::OperatorCommand;
use crate::entry::EntryError;
use crate::entry::request;

pub fn run(command: &OperatorCommand) -> Result<(), EntryError> {
    let answer = request(command.entry, Method::GET, "/v1/config", None)?;
    if command.json {
        println!("{answer}");
    } else {
        println!("{answer:#}");
    }
    Ok(())
}
