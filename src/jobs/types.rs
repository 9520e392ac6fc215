//! Jobs, steps and tasks.
//!
//! A job is a list of steps, and a step is a number of identical tasks. Each attempt
//! to execute a task is a run; the runs of a task are numbered from 1. A recurring
//! job has several occurrences, each of which executes all steps.
//!
//! A task with a latency target is a serving task. A filler only uses the CPU that
//! other tasks leave idle. A long-running task runs until its job is cancelled. A
//! gang is a step whose tasks must all run at the same time.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Identifier of a job, chosen by the caller that submits it.
pub type JobId = Arc<str>;

/// Amounts of each resource that a task needs or a worker offers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ResourceVector {
    /// CPU, in millicores.
    pub cpu: u64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub gpu: u64,
}

impl ResourceVector {
    /// Returns whether these resources are enough for `need`.
    #[must_use]
    pub fn covers(&self, need: &Self) -> bool {
        need.cpu <= self.cpu && need.memory_mb <= self.memory_mb && need.gpu <= self.gpu
    }

    /// Adds the amounts of `other`; no amount goes above the largest number.
    pub fn add(&mut self, other: &Self) {
        self.cpu = self.cpu.saturating_add(other.cpu);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
        self.gpu = self.gpu.saturating_add(other.gpu);
    }

    /// Subtracts the amounts of `other`; no amount goes below 0.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }
}

/// Whether a worker accepts new runs, as its entry in the store says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// Accepts new runs.
    Ready,
    /// Will leave soon and accepts no new runs.
    Draining,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Finished its work.
    Done,
    /// Failed, because of the task or of the worker.
    Failed,
    /// Was stopped by an order.
    Stopped,
    /// The worker's lease expired.
    LeaseExpired,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not start in time.
    GangIncomplete,
}

/// State of a job as shown to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks of all occurrences are done.
    Completed,
    /// A task failed as often as its queue allows.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

impl JobState {
    /// Returns whether the state can no longer change.
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
    /// Resources that each task needs.
    pub need: ResourceVector,
    /// Estimated duration of a task, in milliseconds.
    pub estimate_ms: u64,
    /// Positions of the steps that must be done first; all are earlier in the job.
    pub after: Vec<u32>,
    /// Whether runs can resume from a checkpoint.
    pub checkpoints: bool,
    /// Whether the tasks must all run at the same time.
    pub gang: bool,
    /// Whether the tasks run slower when they are spread over several racks.
    pub one_rack: bool,
    /// Label that a worker must have; empty for none.
    pub label: String,
    /// Rack that holds the tasks' data; empty for none in particular.
    pub data_rack: String,
    /// Maximum number of the step's tasks on one worker; 0 for no limit.
    pub per_worker: u32,
    /// Whether a straggler may get a speculative copy on another worker.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// Image that the tasks run; tasks of the same image behave alike.
    pub image: String,
    /// Target for the tail of the tasks' response times, in milliseconds; 0 for none.
    pub target_ms: u64,
    /// Whether the tasks are fillers, which only use CPU that others leave idle.
    pub fills: bool,
    /// Maximum number of tasks that may be unavailable at a time when the scheduler
    /// evicts runs; none for no limit.
    pub may_miss: Option<u32>,
}

impl StepSpec {
    /// Returns what all tasks of the step need together.
    #[must_use]
    pub fn total_need(&self) -> ResourceVector {
        let tasks = u64::from(self.tasks);
        ResourceVector {
            cpu: self.need.cpu.saturating_mul(tasks),
            memory_mb: self.need.memory_mb.saturating_mul(tasks),
            gpu: self.need.gpu.saturating_mul(tasks),
        }
    }

    /// Returns the resources that a task reserves at a worker: fillers reserve no CPU.
    #[must_use]
    pub fn reserved(&self) -> ResourceVector {
        ResourceVector {
            cpu: if self.fills { 0 } else { self.need.cpu },
            ..self.need
        }
    }
}

/// Schedule of a recurring job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JobSchedule {
    /// Number of occurrences.
    pub times: u32,
    /// When the first occurrence is due, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// Time from one occurrence to the next, in milliseconds.
    pub interval_ms: u64,
}

/// A job as submitted.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct JobSpec {
    /// Text passed to every run.
    pub spec: String,
    /// Steps; each depends only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// When the occurrences are due; none for a job that runs once.
    pub schedule: Option<JobSchedule>,
}

/// Maximum length of the text passed to runs, in bytes; published by the platform.
const MAX_SPEC_BYTES: usize = 4000;

/// Maximum number of tasks of a job, and of those of its occurrences in progress; bounds the
/// memory that one submission can claim.
pub const MAX_TASKS: u64 = 4096;

impl JobSpec {
    /// Returns why the job is invalid, or none if it is valid.
    #[must_use]
    pub fn validation_error(&self) -> Option<String> {
        if self.spec.len() > MAX_SPEC_BYTES {
            return Some(format!("spec must be at most {MAX_SPEC_BYTES} bytes long"));
        }
        if self.steps.is_empty() {
            return Some("a job must have at least one step".to_owned());
        }
        let tasks = self.tasks_per_occurrence();
        if tasks > MAX_TASKS {
            return Some(format!(
                "the job has {tasks} tasks; at most {MAX_TASKS} are accepted"
            ));
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.tasks == 0 {
                return Some(format!(
                    "step {number} has no tasks; at least one is required"
                ));
            }
            if step.after.iter().any(|after| *after as usize >= number) {
                return Some(format!(
                    "step {number} depends on itself or a later step; only earlier ones are accepted"
                ));
            }
            if step.gang && step.speculative {
                return Some(format!(
                    "step {number} is a gang and speculative; only one of them is accepted"
                ));
            }
        }
        None
    }

    /// Returns the memory that the job takes, in bytes.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let steps = self.steps.iter().map(|step| {
            let texts = step.label.len() + step.data_rack.len() + step.image.len();
            size_of::<StepSpec>() + texts + size_of_val(step.after.as_slice())
        });
        self.spec.len() + steps.sum::<usize>()
    }

    /// Returns the number of tasks of one occurrence.
    #[must_use]
    pub fn tasks_per_occurrence(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.tasks)).sum()
    }

    /// Returns the CPU work of one occurrence, in millicore-milliseconds; long-running
    /// steps do not count.
    #[must_use]
    pub fn work(&self) -> u64 {
        let steps = self.steps.iter().filter(|step| !step.lasting);
        let work = steps.map(|step| step.total_need().cpu.saturating_mul(step.estimate_ms));
        work.fold(0, u64::saturating_add)
    }

    /// Returns the estimated length of one occurrence's critical path, its longest
    /// chain of dependent steps, in milliseconds.
    #[must_use]
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends_ms: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let ready_ms = step
                .after
                .iter()
                .map(|after| ends_ms[*after as usize])
                .max();
            ends_ms.push(ready_ms.unwrap_or(0).saturating_add(step.estimate_ms));
        }
        ends_ms.into_iter().max().unwrap_or(0)
    }

    /// Returns whether any step is long-running.
    #[must_use]
    pub fn has_long_running_step(&self) -> bool {
        self.steps.iter().any(|step| step.lasting)
    }
}

/// Identifies a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Number of the occurrence, from 0; 0 for a job that runs once.
    pub occurrence: u32,
    /// Position of the step in the job, from 0.
    pub step: u32,
    /// Position of the task in its step, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses a name such as `5c0e7a21d94b36f8.0.1.17`: job, occurrence, step and
    /// index. Returns none if a part is missing, extra or not a number.
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
