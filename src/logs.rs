//! Logs: one line of key=value pairs for each event, on standard error.

use std::io::Write;

use env_logger::Builder;
use env_logger::Env;
use log::kv;

use crate::service::unix_ms;

/// Starts the logger; the level comes from `RUST_LOG` and is `info` otherwise.
///
/// A second start in one process has no effect.
pub fn start() {
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    builder.target(env_logger::Target::Stdout);
    builder.format(|buffer, record| {
        let mut pairs = PairWriter {
            line: format!(
                "time_ms={} level={} target={}",
                unix_ms(),
                record.level(),
                record.target()
            ),
        };
        // The visitor never fails.
        let _ = record.key_values().visit(&mut pairs);
        let text = record.args().to_string();
        if !text.is_empty() {
            pairs.push("message", &text);
        }
        writeln!(buffer, "{}", pairs.line)
    });
    // Fails only if there is a logger already, which then stays.
    let _ = builder.try_init();
}

struct PairWriter {
    line: String,
}

impl PairWriter {
    fn push(&mut self, key: &str, value: &str) {
        self.line.push(' ');
        self.line.push_str(key);
        self.line.push('=');
        let plain = !value.is_empty() && value.bytes().all(|b| b.is_ascii_graphic() && b != b'"');
        if plain {
            self.line.push_str(value);
        } else {
            self.line.push_str(&format!("{value:?}"));
        }
    }
}

impl<'kvs> kv::VisitSource<'kvs> for PairWriter {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        self.push(key.as_str(), &value.to_string());
        Ok(())
    }
}
