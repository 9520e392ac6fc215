//! Cases of the third review: stand-ins of the platform, its workers and callers, beside the
//! project's own daemons as separate processes.
//!
//! Usage: `stand-ins-3 CASE FOLDER DAEMON`. Writes `record.txt` into the folder. Exits with 1 if
//! the rule was broken, 0 if it held, 2 if the case could not run. Without the disruption if the
//! environment has `TROUBLE=0`.

mod advice;
mod caller;
mod harm;
mod http;
mod idle;
mod json;
mod long;
mod nodes;
mod record;
mod setup;
mod silent;
mod store;
mod workers;

use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use crate::record::Record;

/// What a case found: the ways in which the rule was broken.
pub type Findings = Vec<String>;

/// What a case needs to run.
pub struct Context {
    /// Program of the daemon.
    pub daemon: PathBuf,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption is brought about.
    pub trouble: bool,
}

fn run(case: &str, folder: &Path, daemon: &Path) -> io::Result<Findings> {
    let name = format!("stand-ins-3-{case}-{}", std::process::id());
    let context = Context {
        daemon: daemon.to_owned(),
        folder: std::env::temp_dir().join(name),
        record: Record::create(&folder.join("record.txt"))?,
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    std::fs::create_dir_all(&context.folder)?;
    let findings = match case {
        "advice-gang" => advice::run_gang(&context),
        "harm" => harm::run(&context),
        "silent" => silent::run(&context),
        "long" => long::run(&context),
        "advice-slow" => advice::run_slow(&context),
        _ => Err(io::Error::other(format!("unknown case {case}"))),
    };
    match &findings {
        Ok(findings) => {
            for finding in findings {
                context.record.write(&format!("broken: {finding}"));
            }
            let held = findings.is_empty();
            context.record.write(if held {
                "the rule held"
            } else {
                "the rule was broken"
            });
        }
        Err(error) => context.record.write(&format!("could not run: {error}")),
    }
    if std::env::var("KEEP").is_err() {
        // What cannot be removed stays in the system's temporary folder.
        let _ = std::fs::remove_dir_all(&context.folder);
    }
    findings
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, daemon] = arguments.as_slice() else {
        eprintln!("usage: stand-ins-3 CASE FOLDER DAEMON");
        return ExitCode::from(2);
    };
    match run(case, Path::new(folder), Path::new(daemon)) {
        Ok(findings) if findings.is_empty() => {
            println!("{case}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(findings) => {
            println!("{case}: the rule was broken: {}", findings[0]);
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("{case}: could not run: {error}");
            ExitCode::from(2)
        }
    }
}
