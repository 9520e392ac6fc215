//! What clients, workers and the platform have seen, in the order in which it happened.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

/// A run as its worker has seen it.
#[derive(Clone, Debug)]
pub struct SeenRun {
    pub task: String,
    pub run: u32,
    pub worker: String,
    pub started_ms: u64,
    /// Checkpoint that the start carried.
    pub checkpoint: String,
    /// When and how it ended; none while it runs.
    pub end: Option<(u64, &'static str)>,
}

struct RecordState {
    file: File,
    runs: Vec<SeenRun>,
}

/// Record of a case; clones share their state.
#[derive(Clone)]
pub struct CaseRecord {
    started: Instant,
    state: Arc<Mutex<RecordState>>,
}

impl CaseRecord {
    /// Creates the record's file, which replaces an earlier one.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("create the record");
        let state = RecordState {
            file,
            runs: Vec::new(),
        };
        Self {
            started: Instant::now(),
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the time since the start of the case, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let now_ms = self.now_ms();
        let mut state = self.state.lock().expect("lock the record");
        writeln!(state.file, "{now_ms:>6} ms  {text}").expect("write the record");
    }

    /// Records the start of a run.
    pub fn started(&self, task: &str, run: u32, worker: &str, checkpoint: &str) {
        let from = if checkpoint.is_empty() {
            "nothing"
        } else {
            checkpoint
        };
        self.line(&format!(
            "worker {worker}: run {run} of {task} starts, from {from}"
        ));
        let started_ms = self.now_ms();
        let mut state = self.state.lock().expect("lock the record");
        state.runs.push(SeenRun {
            task: task.to_owned(),
            run,
            worker: worker.to_owned(),
            started_ms,
            checkpoint: checkpoint.to_owned(),
            end: None,
        });
    }

    /// Records the end of a run.
    pub fn ended(&self, task: &str, run: u32, worker: &str, how: &'static str) {
        self.line(&format!("worker {worker}: run {run} of {task} ends: {how}"));
        let now_ms = self.now_ms();
        let mut state = self.state.lock().expect("lock the record");
        let mut runs = state.runs.iter_mut().rev();
        let seen = runs.find(|seen| seen.task == task && seen.run == run && seen.worker == worker);
        if let Some(seen) = seen {
            seen.end = Some((now_ms, how));
        }
    }

    /// Returns the runs of a job's tasks.
    pub fn runs_of(&self, job: &str) -> Vec<SeenRun> {
        let state = self.state.lock().expect("lock the record");
        let runs = state.runs.iter();
        let own = runs.filter(|seen| seen.task.split('.').next() == Some(job));
        own.cloned().collect()
    }
}
