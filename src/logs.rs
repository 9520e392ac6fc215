//! Logs: one line of key=value pairs for each event, on standard output.
//!
//! Lines go through a bounded queue to a thread that writes them, so that a reader
//! who is slow or gone never holds the process up. What does not fit is dropped and
//! counted; the count is a line of its own.

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

/// Starts the logger of a daemon; the level comes from `RUST_LOG` and is `info`
/// otherwise.
///
/// A second start in one process has no effect.
pub fn start() {
    start_on(Target::Pipe(Box::new(start_queue())));
}

/// Starts the logger of a tool, whose results go to standard output, on standard error.
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

/// Lines that may wait; some seconds of a busy owner.
const QUEUE_LINES: usize = 8192;

/// Lines written at a time.
const MAX_BATCH_LINES: usize = 256;

/// Longest wait for the queue to empty at the end of the process.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// Pause between two looks at the queue at the end of the process.
const FLUSH_POLL: Duration = Duration::from_millis(5);

/// Counts of the queue.
#[derive(Debug, Default)]
struct QueueCounts {
    waiting: AtomicU64,
    dropped: AtomicU64,
}

static COUNTS: OnceLock<Arc<QueueCounts>> = OnceLock::new();

/// Puts lines into the queue.
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

/// Writes lines for ever, those that wait together.
fn write_lines(lines: &Receiver<Vec<u8>>, counts: &QueueCounts) {
    while let Ok(first) = lines.recv() {
        let mut text = first;
        let mut taken = 1;
        for line in lines.try_iter().take(MAX_BATCH_LINES) {
            text.extend_from_slice(&line);
            taken += 1;
        }
        let dropped = counts.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let time_ms = unix_ms();
            let note = format!("time_ms={time_ms} level=WARN event=log_dropped lines={dropped}\n");
            text.extend_from_slice(note.as_bytes());
        }
        let mut output = io::stdout().lock();
        // Without a reader there is nobody to tell.
        let _ = output.write_all(&text).and_then(|()| output.flush());
        counts.waiting.fetch_sub(taken, Ordering::Relaxed);
    }
}

/// Waits a little until all lines are written, at the end of the process.
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
