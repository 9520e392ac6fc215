//! Logs: one line of key=value pairs per event, on standard output.
//!
//! A separate thread writes the lines from a bounded queue, so that a slow or
//! closed reader of standard output never blocks the process. Lines that do not
//! fit into the queue are dropped, and their number is logged as `log_dropped`.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

use env_logger::Builder;
use env_logger::Env;
use env_logger::Target;
use log::kv;

use crate::service::unix_ms;

/// Installs the logger of a daemon; `RUST_LOG` sets the level, which is `info` by
/// default.
///
/// Only the first call in a process has an effect.
pub fn start() {
    start_on(Target::Pipe(Box::new(start_queue())));
}

/// Installs the logger of a command-line tool. It writes to standard error, since
/// standard output is for the tool's results.
pub fn start_tool() {
    start_on(Target::Stderr);
}

fn start_on(target: Target) {
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    builder.target(target);
    builder.format(|buffer, record| {
        let mut pairs = PairWriter {
            line: format!(
                "time_ms={} level={} target={}",
                unix_ms(),
                record.level(),
                record.target()
            ),
        };
        // `PairWriter` never returns an error.
        let _ = record.key_values().visit(&mut pairs);
        let text = record.args().to_string();
        if !text.is_empty() {
            pairs.push("message", &text);
        }
        writeln!(buffer, "{}", pairs.line)
    });
    // Fails only if a logger is already installed, which then stays in use.
    let _ = builder.try_init();
}

/// Max lines in the queue; a busy shard owner logs as many in a few seconds.
const QUEUE_LINES: usize = 8192;

/// Max lines that are added to the first one in a write.
const MAX_BATCH_LINES: usize = 256;

/// Max time to wait for the queue to be written at the end of the process.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// Interval between checks of the queue at the end of the process.
const FLUSH_POLL: Duration = Duration::from_millis(5);

/// Number of lines not yet written, and of lines dropped since the last `log_dropped`.
#[derive(Debug, Default)]
struct QueueCounts {
    waiting: AtomicU64,
    dropped: AtomicU64,
}

static COUNTS: OnceLock<Arc<QueueCounts>> = OnceLock::new();

/// Writer that appends each line to the queue and never blocks.
struct QueueWriter {
    lines: SyncSender<Vec<u8>>,
    counts: Arc<QueueCounts>,
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.counts.waiting.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(line.to_vec()).is_err() {
            self.counts.waiting.fetch_sub(1, Ordering::Relaxed);
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn start_queue() -> QueueWriter {
    let (sender, lines) = sync_channel(QUEUE_LINES);
    let counts = Arc::clone(COUNTS.get_or_init(Arc::default));
    let written = Arc::clone(&counts);
    thread::spawn(move || write_lines(&lines, &written));
    QueueWriter {
        lines: sender,
        counts,
    }
}

/// Writes lines until the queue is closed, several queued lines at a time.
fn write_lines(lines: &Receiver<Vec<u8>>, counts: &QueueCounts) {
    while let Ok(first) = lines.recv() {
        let mut text = first;
        let mut count = 1;
        for line in lines.try_iter().take(MAX_BATCH_LINES) {
            text.extend_from_slice(&line);
            count += 1;
        }
        let dropped = counts.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let time_ms = unix_ms();
            let warning =
                format!("time_ms={time_ms} level=WARN event=log_dropped lines={dropped}\n");
            text.extend_from_slice(warning.as_bytes());
        }
        let mut output = io::stdout().lock();
        // A failed write means that standard output has no reader, so there is nowhere to
        // report it.
        let _ = output.write_all(&text).and_then(|()| output.flush());
        counts.waiting.fetch_sub(count, Ordering::Relaxed);
    }
}

/// Waits at the end of the process until the queued lines are written, but no longer
/// than `FLUSH_LIMIT`.
pub fn flush() {
    let Some(counts) = COUNTS.get() else {
        return;
    };
    let rounds = FLUSH_LIMIT.as_millis() / FLUSH_POLL.as_millis();
    for _ in 0..rounds {
        if counts.waiting.load(Ordering::Relaxed) == 0 {
            return;
        }
        thread::sleep(FLUSH_POLL);
    }
}

/// Appends key-value pairs to a line and quotes values where needed.
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
