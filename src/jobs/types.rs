//! Jobs, steps and tasks.
//!
//! A job is a list of steps, a step a number of like tasks. Each start of a task is
//! a run, numbered from 1. A recurring job has several occurrences, each with all
//! steps.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Identifier that a caller gave its job.
pub type JobId = Arc<str>;

/// What a task needs or a worker has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ResourceVector {
    /// Processor, in thousandths of a core.
    pub cpu: u64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl ResourceVector {
    /// Tells whether `need` fits into what is left.
    #[must_use]
    pub fn fits(&self, need: &Self) -> bool {
        need.cpu <= self.cpu && need.memory_mb <= self.memory_mb && need.gpu <= self.gpu
    }

    /// Adds another size.
    pub fn add(&mut self, other: &Self) {
        self.cpu += other.cpu;
        self.memory_mb += other.memory_mb;
        self.gpu += other.gpu;
    }

    /// Takes another size away, down to nothing.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }
}

/// Whether a worker takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Takes work.
    Ready,
    /// Will leave and takes no new work.
    Draining,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Finished its work.
    Done,
    /// Failed, by its own fault or the worker's.
    Failed,
    /// Was stopped.
    Stopped,
    /// Its lease lapsed.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// Waited in vain for the other members of its gang.
    GangIncomplete,
}

/// State of a job as shown to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// Some task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task failed for good.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

impl JobState {
    /// Tells whether the state will not change any more.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// A step of a job.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// What each task needs.
    pub need: ResourceVector,
    /// Rough duration of a task, in milliseconds.
    pub estimate_ms: u64,
    /// Steps that must be done first.
    pub after: Vec<u32>,
    /// Whether runs can resume from a checkpoint.
    pub checkpoints: bool,
    /// Whether the tasks work only all together.
    pub gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub one_rack: bool,
    /// Label that a worker must have; empty for none.
    pub label: String,
    /// Rack where the data is; empty for anywhere.
    pub data_rack: String,
    /// Most tasks on one worker; 0 for no limit.
    pub per_worker: u32,
    /// Whether copies of a task may run in parallel.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: String,
    /// Tail of response times to stay below, in milliseconds; 0 for none.
    pub target_ms: u64,
    /// Whether the tasks use only the processor that others leave.
    pub fills: bool,
    /// Most tasks that may be away at a time by the system's doing, if there is a limit.
    pub may_miss: Option<u32>,
}

impl StepSpec {
    /// Returns what a task counts for against a worker's room.
    #[must_use]
    pub fn reserved(&self) -> ResourceVector {
        ResourceVector {
            cpu: if self.fills { 0 } else { self.need.cpu },
            ..self.need
        }
    }
}

/// When a job's occurrences are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobSchedule {
    /// Number of occurrences.
    pub times: u32,
    /// When the first is due, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// Time between two, in milliseconds.
    pub interval_ms: u64,
}

/// A job as handed in.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobSpec {
    /// Text handed to every run.
    pub spec: String,
    /// Steps.
    pub steps: Vec<StepSpec>,
    /// Occurrences; none for a job that runs once.
    pub schedule: Option<JobSchedule>,
}

/// Longest text handed to runs, in bytes; published by the platform.
const MAX_SPEC_BYTES: usize = 4000;

/// Most tasks of a job; bounds the memory that one submission can claim.
const MAX_TASKS: u64 = 4096;

impl JobSpec {
    /// Returns what is wrong with the job, if anything.
    #[must_use]
    pub fn validation_error(&self) -> Option<String> {
        if self.spec.len() > MAX_SPEC_BYTES {
            return Some(format!("spec is longer than {MAX_SPEC_BYTES} bytes"));
        }
        if self.steps.is_empty() {
            return Some("a job needs a step".to_owned());
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        if tasks > MAX_TASKS {
            return Some(format!("{tasks} tasks are more than {MAX_TASKS}"));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                return Some(format!("step {number} has no tasks"));
            }
            if step.after.iter().any(|after| *after as usize >= number) {
                return Some(format!(
                    "step {number} waits for a step that is not earlier"
                ));
            }
            if step.gang && step.speculative {
                return Some(format!("step {number} is a gang and speculative"));
            }
        }
        None
    }

    /// Returns the work of one occurrence, in milliseconds of a thousandth of a core.
    #[must_use]
    pub fn work(&self) -> u64 {
        let steps = self.steps.iter().filter(|step| !step.lasting);
        let work = steps.map(|step| u64::from(step.tasks) * step.need.cpu * step.estimate_ms);
        work.sum()
    }

    /// Returns the longest chain of estimates of one occurrence, in milliseconds.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().map(|after| ends[*after as usize]).max();
            ends.push(before.unwrap_or(0) + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Tells whether any step lasts.
    #[must_use]
    pub fn has_lasting_step(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }
}

/// A task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Job.
    pub job: JobId,
    /// Occurrence, 0 for a job that runs once.
    pub occurrence: u32,
    /// Step.
    pub step: u32,
    /// Index within the step.
    pub index: u32,
}

impl TaskId {
    /// Reads a name such as `5c0e7a21d94b36f8.0.1.17`.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        let mut parts = name.split('.');
        let task = Self {
            job: parts.next()?.into(),
            occurrence: parts.next()?.parse().ok()?,
            step: parts.next()?.parse().ok()?,
            index: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(task)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (job, step) = (&self.job, self.step);
        write!(f, "{job}.{}.{step}.{}", self.occurrence, self.index)
    }
}
