//! Gangs: the runs of a step's subtasks that work only together.
//!
//! The members of one run work from the moment when all of them are present, from the checkpoint
//! that all of them carry. Members that carry different checkpoints cannot work together: each
//! waits for one that fits, and ends `alone`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// `bounds.checkpointIntervalS` of the deployment.
pub const CHECKPOINT_INTERVAL_MS: u64 = 500;

/// `bounds.restoreMs` of the deployment.
pub const RESTORE_MS: u64 = 250;

/// `bounds.gangTimeoutMs` of the deployment.
pub const GANG_TIMEOUT: Duration = Duration::from_millis(3000);

/// Step of an occurrence and number of the run.
type GangKey = (String, u32);

#[derive(Clone, Debug, Default)]
struct GangState {
    /// Checkpoint that each present member carries, by its name.
    members: BTreeMap<String, String>,
    began: Option<Instant>,
    is_broken: bool,
}

/// Gangs of all workers; clones share their state.
#[derive(Clone, Default)]
pub struct GangTable(Arc<Mutex<BTreeMap<GangKey, GangState>>>);

/// Returns the work that is saved in a checkpoint, in milliseconds.
pub fn saved_ms(checkpoint: &str) -> u64 {
    let digits = checkpoint.get(..8).unwrap_or("");
    u64::from_str_radix(digits, 16).unwrap_or(0)
}

/// Returns the checkpoint of a job's subtask at this progress; empty before the first one.
pub fn checkpoint_at(job: &str, progress_ms: u64) -> String {
    let saved = progress_ms / CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS;
    if saved == 0 {
        return String::new();
    }
    format!("{saved:08x}{}", job.get(8..).unwrap_or(""))
}

fn key(task: &str, run: u32) -> GangKey {
    let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
    (step.to_owned(), run)
}

impl GangTable {
    fn with<T>(&self, task: &str, run: u32, change: impl FnOnce(&mut GangState) -> T) -> T {
        let mut gangs = self.0.lock().expect("lock the gangs");
        change(gangs.entry(key(task, run)).or_default())
    }

    /// Adds a member of a gang of `count`.
    pub fn join(&self, task: &str, run: u32, count: usize, checkpoint: &str) {
        self.with(task, run, |gang| {
            gang.members.insert(task.to_owned(), checkpoint.to_owned());
            let fits = gang.members.values().all(|carried| carried == checkpoint);
            if gang.members.len() == count && fits {
                gang.began = Some(Instant::now());
            }
        });
    }

    /// Returns when the gang has begun to work; none before.
    pub fn began(&self, task: &str, run: u32) -> Option<Instant> {
        self.with(task, run, |gang| gang.began)
    }

    /// Returns whether another member has ended before the work was done.
    pub fn is_broken(&self, task: &str, run: u32) -> bool {
        self.with(task, run, |gang| gang.is_broken)
    }

    /// Removes a member that ends before the work is done; the others cannot go on.
    pub fn leave(&self, task: &str, run: u32) {
        self.with(task, run, |gang| {
            gang.members.remove(task);
            gang.is_broken |= gang.began.is_some();
        });
    }
}
