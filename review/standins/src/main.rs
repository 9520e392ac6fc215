//! Scripts of the review: each plays one case against the daemons and checks one rule.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cloud;
mod deployment;
mod http;
mod json;
mod link;
mod record;
mod store;
mod worker;

mod blocked;
mod crashes;
mod gang;
mod reborn;
mod route_removed;

use std::path::Path;
use std::process::ExitCode;

use crate::record::Record;

/// Outcome of a case: whether the rule held.
pub type Outcome = Result<bool, Box<dyn std::error::Error>>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, program, folder, record] = args.as_slice() else {
        eprintln!("usage: review-standins CASE PROGRAM FOLDER RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(Path::new(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record: {error}");
            return ExitCode::from(2);
        }
    };
    record.write(&format!("case {case} trouble={trouble}"));
    let (program, folder) = (Path::new(program), Path::new(folder));
    let outcome = match case.as_str() {
        "blocked" => blocked::play(program, folder, &record, trouble),
        "crashes" => crashes::play(program, folder, &record, trouble),
        "gang" => gang::play(program, folder, &record, trouble),
        "route-removed" => route_removed::play(program, folder, &record, trouble),
        "reborn" => reborn::play(program, folder, &record, trouble),
        _ => Err(format!("unknown case {case}").into()),
    };
    match outcome {
        Ok(true) => {
            record.write("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.write("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.write(&format!("verdict: could not run: {error}"));
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
