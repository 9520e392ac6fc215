//! The record of a script: what was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// The record; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    lines: Arc<Mutex<Vec<(u64, String)>>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            lines: Arc::default(),
            began: Instant::now(),
        })
    }

    /// Milliseconds since the record began.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Writes a line with its time.
    pub fn write(&self, line: &str) {
        let at = self.now_ms();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:>8.3} {line}", at as f64 / 1000.0);
        }
        if let Ok(mut lines) = self.lines.lock() {
            lines.push((at, line.to_owned()));
        }
    }

    /// Returns the lines that begin with a word, with their times in milliseconds.
    pub fn lines(&self, word: &str) -> Vec<(u64, String)> {
        let lines = self.lines.lock().expect("lock the record");
        let found = lines.iter().filter(|(_, line)| line.starts_with(word));
        found.cloned().collect()
    }
}
