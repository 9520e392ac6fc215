//! Cases of the second independent review.
//!
//! `stand-ins-2 CASE FOLDER` plays a case and writes `record.txt` to the folder. It exits with 1
//! if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment, it leaves the disruption out.

// The project's stand-ins name their crate.
extern crate self as standin;

mod cluster;
mod crashed_twice;
mod gang_checkpoint;
mod gangs;
mod harness;
mod platform;
mod rack_gang;
mod record;
mod unknown_queue;
mod worker;

#[path = "../../../standin/src/relay.rs"]
pub mod relay;
#[allow(dead_code)]
#[path = "../../../standin/src/server.rs"]
pub mod server;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use crate::record::CaseRecord;

/// Result of a case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CaseResult {
    /// The rule held.
    Held(String),
    /// The rule was broken.
    Broken(String),
    /// The case could not run.
    Unusable(String),
}

/// Time after which a case is given up.
const CASE_LIMIT: Duration = Duration::from_secs(110);

#[tokio::main(flavor = "multi_thread", worker_threads = 3)]
async fn main() -> ExitCode {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        cluster::end_processes();
        std::process::exit(2);
    }));
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: stand-ins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = CaseRecord::create(&Path::new(folder).join("record.txt"));
    record.line(&format!("case {case}, disruption: {trouble}"));
    let play = async {
        match case.as_str() {
            "crashed-twice" => crashed_twice::play(&record, trouble).await,
            "gang-checkpoint" => gang_checkpoint::play(&record, trouble).await,
            "rack-gang" => rack_gang::play(&record, trouble).await,
            "unknown-queue" => unknown_queue::play(&record, trouble).await,
            _ => CaseResult::Unusable(format!("no case {case}")),
        }
    };
    let result = tokio::select! {
        result = play => result,
        () = tokio::time::sleep(CASE_LIMIT) => CaseResult::Unusable("it took too long".to_owned()),
        _ = tokio::signal::ctrl_c() => CaseResult::Unusable("interrupted".to_owned()),
    };
    cluster::end_processes();
    let (code, text) = match result {
        CaseResult::Held(text) => (0, format!("held: {text}")),
        CaseResult::Broken(text) => (1, format!("BROKEN: {text}")),
        CaseResult::Unusable(text) => (2, format!("could not run: {text}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
