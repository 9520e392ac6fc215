//! The state of a job in the memory of its shard's owner, and how it changes when
//! occurrences come due and runs end.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::jobs::loss_record::LossRecord;
use crate::jobs::losses::WorkerLoss;
use crate::jobs::record::BodyRecord;
use crate::jobs::record::OccurrenceRecord;
use crate::jobs::record::ProgressRecord;
use crate::jobs::shapes::ShapeKey;
use crate::jobs::shapes::step_shape;
use crate::jobs::task::RunPhase;
use crate::jobs::task::StepState;
use crate::jobs::task::TaskRun;
use crate::jobs::task::TaskState;
use crate::jobs::task::remove_run;
use crate::jobs::task::restore_task;
use crate::jobs::task::store_task;
use crate::jobs::types::JobId;
use crate::jobs::types::JobState;
use crate::jobs::types::MAX_TASKS;
use crate::jobs::types::RunEnd;
use crate::jobs::types::StepSpec;
use crate::jobs::types::TaskId;

/// A job in progress.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// Identifier, chosen by the caller.
    pub id: JobId,
    /// Body, stored at acceptance and not changed later.
    pub body: BodyRecord,
    /// State as shown to callers.
    pub state: JobState,
    /// Steps of each occurrence in progress, by the occurrence's number.
    pub open: BTreeMap<u32, Vec<StepState>>,
    /// Numbers of the finished occurrences.
    pub finished: BTreeSet<u32>,
    /// Version of this state; each change increments it.
    pub version: u64,
    /// Latest version that is stored; 0 if none is.
    pub stored_version: u64,
    /// Whether the body is stored.
    pub body_stored: bool,
    /// Whether the job went into a commit, which may have succeeded.
    pub write_attempted: bool,
    /// Version at which the removal of the body and a record without runs went into a
    /// commit; 0 if it did not.
    pub closed_version: u64,
    /// First version with a final state that went into a commit; 0 if none did.
    pub ended_version: u64,
    /// When the job was submitted, on the boot clock in milliseconds.
    pub submitted_ms: u64,
    /// Whether the job was submitted beyond the rate of its account. Not stored: after a
    /// takeover it counts as within the rate.
    pub beyond_rate: bool,
    /// Whether it is placed before smaller jobs, as its size class is served too rarely.
    /// Not stored.
    pub preferred: bool,
    /// Probability with which it counts as in time in its size class; none if it does not
    /// count or its outcome is known. Not stored.
    pub expected_timely: Option<f64>,
    /// Digest of what the tasks of each step need.
    pub step_shapes: Vec<ShapeKey>,
}

impl JobEntry {
    /// Creates a job that was submitted at the time `now` on the boot clock.
    #[must_use]
    pub fn new(id: JobId, body: BodyRecord, now: u64) -> Self {
        let steps = body.spec.steps.iter();
        let shapes = steps.map(|spec| step_shape(spec, body.account.as_ref()));
        Self {
            step_shapes: shapes.collect(),
            id,
            body,
            state: JobState::Queued,
            open: BTreeMap::new(),
            finished: BTreeSet::new(),
            version: 1,
            stored_version: 0,
            body_stored: false,
            write_attempted: false,
            closed_version: 0,
            ended_version: 0,
            submitted_ms: now,
            beyond_rate: false,
            preferred: false,
            expected_timely: None,
        }
    }

    /// Restores a job from its records; `age_ms` is the time since its submission. A
    /// job without a progress record has not started.
    #[must_use]
    pub fn restore(
        id: JobId,
        body: BodyRecord,
        progress: Option<ProgressRecord>,
        now: u64,
        age_ms: u64,
    ) -> Self {
        let mut job = Self::new(id, body, now.saturating_sub(age_ms));
        job.body_stored = true;
        job.stored_version = 1;
        let Some(progress) = progress else {
            return job;
        };
        job.state = progress.state;
        job.ended_version = u64::from(job.state.is_final());
        job.finished = progress.finished.into_iter().collect();
        for record in progress.open {
            let steps = record.steps.into_iter().map(|tasks| StepState {
                tasks: tasks
                    .into_iter()
                    .map(|task| restore_task(task, now))
                    .collect(),
                ..StepState::default()
            });
            job.open.insert(record.number, steps.collect());
        }
        for record in progress.losses {
            let (task, loss) = record.into_loss(&job.id);
            if let Some(state) = job.task_mut(&task) {
                state.losses.push(loss);
            }
        }
        let numbers: Vec<_> = job.open.keys().copied().collect();
        for number in numbers {
            job.open_steps(number, now);
        }
        job
    }

    /// Returns whether a final state of the job is stored.
    #[must_use]
    pub fn is_end_stored(&self) -> bool {
        self.ended_version > 0 && self.stored_version >= self.ended_version
    }

    /// Returns whether the job is finished and no run of it may be alive. The starts of
    /// reserved runs of a finished job are never sent.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        let mut runs = self.live_runs();
        self.state.is_final() && runs.all(|(_, run)| matches!(run.phase, RunPhase::Reserved(_)))
    }

    /// Returns the progress record to store; it holds only the state and the account of a
    /// finished job without runs.
    #[must_use]
    pub fn progress(&self, unix_ms: u64) -> ProgressRecord {
        let open = self.open.iter().map(|(number, steps)| OccurrenceRecord {
            number: *number,
            steps: steps
                .iter()
                .map(|step| step.tasks.iter().map(store_task).collect())
                .collect(),
        });
        let is_closed = self.is_closed();
        ProgressRecord {
            state: self.state,
            written_ms: unix_ms,
            finished: if is_closed {
                Vec::new()
            } else {
                self.finished.iter().copied().collect()
            },
            open: if is_closed {
                Vec::new()
            } else {
                open.collect()
            },
            account: self.body.account.clone(),
            losses: if is_closed {
                Vec::new()
            } else {
                self.losses().map(LossRecord::from).collect()
            },
        }
    }

    /// Returns the losses of all unfinished tasks.
    pub fn losses(&self) -> impl Iterator<Item = (TaskId, &WorkerLoss)> {
        let tasks = self.tasks().filter(|(_, state)| !state.done);
        tasks.flat_map(|(task, state)| state.losses.iter().map(move |loss| (task.clone(), loss)))
    }

    /// Increments the version after a change.
    pub fn bump_version(&mut self) {
        self.version += 1;
    }

    /// Opens the occurrences that are due and those of their steps that depend on no
    /// other step. `now` is on the boot clock, `unix_ms` since the Unix epoch.
    ///
    /// Returns whether any occurrence was opened.
    pub fn open_due(&mut self, now: u64, unix_ms: u64) -> bool {
        if self.state.is_final() {
            return false;
        }
        let (times, due) = match self.body.spec.schedule {
            None => (1, 1),
            Some(schedule) => {
                let elapsed_ms = unix_ms.checked_sub(schedule.first_ms);
                let due =
                    elapsed_ms.map_or(0, |elapsed_ms| elapsed_ms / schedule.interval_ms.max(1) + 1);
                (schedule.times, due.min(u64::from(schedule.times)) as u32)
            }
        };
        self.drop_finished();
        let mut opened = false;
        let tasks = self.body.spec.tasks_per_occurrence();
        let max_open = (MAX_TASKS / tasks.max(1)).max(1) as usize;
        // Occurrences are opened in the order of their numbers.
        let last_open = self.open.last_key_value().map(|(number, _)| *number);
        let last = last_open.max(self.finished.last().copied());
        let next = last.map_or(0, |last| last + 1);
        for number in next..due.min(times) {
            if self.open.len() >= max_open {
                break;
            }
            let steps = self.body.spec.steps.iter().map(|step| StepState {
                tasks: vec![TaskState::default(); step.tasks as usize],
                ..StepState::default()
            });
            self.open.insert(number, steps.collect());
            self.open_steps(number, now);
            opened = true;
        }
        opened
    }

    /// Removes the finished occurrences whose last runs have ended since.
    fn drop_finished(&mut self) {
        let finished = &self.finished;
        self.open.retain(|number, steps| {
            let mut tasks = steps.iter().flat_map(|step| &step.tasks);
            !finished.contains(number) || tasks.any(|task| !task.placed.is_empty())
        });
    }

    /// Opens the steps of an occurrence whose earlier steps are all done.
    fn open_steps(&mut self, number: u32, now: u64) {
        let Some(steps) = self.open.get_mut(&number) else {
            return;
        };
        let done: Vec<bool> = steps.iter().map(StepState::is_done).collect();
        for (spec, step) in self.body.spec.steps.iter().zip(steps.iter_mut()) {
            let ready = spec.after.iter().all(|after| done[*after as usize]);
            if ready && step.open_ms.is_none() {
                step.open_ms = Some(now);
            }
        }
    }

    /// Returns the state of a task; none if its occurrence is not open.
    #[must_use]
    pub fn task(&self, task: &TaskId) -> Option<&TaskState> {
        let step = self.open.get(&task.occurrence)?.get(task.step as usize)?;
        step.tasks.get(task.index as usize)
    }

    /// Like [`Self::task`], to change it.
    pub fn task_mut(&mut self, task: &TaskId) -> Option<&mut TaskState> {
        let step = self.open.get_mut(&task.occurrence)?;
        let step = step.get_mut(task.step as usize)?;
        step.tasks.get_mut(task.index as usize)
    }

    /// Returns the step of a task as it was submitted.
    #[must_use]
    pub fn step_spec(&self, task: &TaskId) -> Option<&StepSpec> {
        self.body.spec.steps.get(task.step as usize)
    }

    /// Applies the end of a run and returns whether the job changed.
    ///
    /// The job fails once `attempts` runs of one task have failed, unless the task is
    /// long-running.
    pub fn end_run(&mut self, end: &EndedRun<'_>, attempts: u32, now: u64) -> bool {
        let Some(spec) = self.step_spec(end.task) else {
            return false;
        };
        let (gang, long_running) = (spec.gang, spec.lasting);
        let Some(task) = self.task_mut(end.task) else {
            return false;
        };
        let known = remove_run(task, end.worker, end.run);
        if end.end == RunEnd::Done && !long_running {
            if task.done {
                return known;
            }
            task.done = true;
            self.finish_task(end.task, gang, now);
            return true;
        }
        if !known {
            return false;
        }
        if !end.checkpoint.is_empty() {
            task.checkpoint = end.checkpoint.to_owned();
        }
        task.last_end_ms = now;
        if end.end == RunEnd::Failed {
            task.failed += 1;
            if !long_running && task.failed >= attempts && !self.state.is_final() {
                self.state = JobState::Failed;
            }
        }
        true
    }

    /// Handles a task that is done: completes its gang, and its occurrence and the job
    /// if nothing is left to do, and opens the steps that have become ready.
    fn finish_task(&mut self, task: &TaskId, gang: bool, now: u64) {
        let Some(steps) = self.open.get_mut(&task.occurrence) else {
            return;
        };
        if gang && let Some(step) = steps.get_mut(task.step as usize) {
            // The members of a gang finish together: if one is done, all are.
            step.tasks.iter_mut().for_each(|member| member.done = true);
        }
        if steps.iter().all(StepState::is_done) {
            let tasks = steps.iter().flat_map(|step| &step.tasks);
            if tasks.clone().all(|task| task.placed.is_empty()) {
                self.open.remove(&task.occurrence);
            }
            self.finished.insert(task.occurrence);
            let times = self.body.spec.schedule.map_or(1, |schedule| schedule.times);
            if self.finished.len() as u32 >= times && !self.state.is_final() {
                self.state = JobState::Completed;
            }
        }
        self.open_steps(task.occurrence, now);
    }

    /// Returns all tasks of the occurrences in progress.
    fn tasks(&self) -> impl Iterator<Item = (TaskId, &TaskState)> {
        self.open.iter().flat_map(move |(occurrence, steps)| {
            steps.iter().enumerate().flat_map(move |(step, state)| {
                let id = move |index: usize| TaskId {
                    job: self.id.clone(),
                    occurrence: *occurrence,
                    step: step as u32,
                    index: index as u32,
                };
                let tasks = state.tasks.iter().enumerate();
                tasks.map(move |(index, task)| (id(index), task))
            })
        })
    }

    /// Returns all runs of the job that may be alive.
    pub fn live_runs(&self) -> impl Iterator<Item = (TaskId, &TaskRun)> {
        let tasks = self.tasks();
        tasks.flat_map(|(id, task)| task.placed.iter().map(move |run| (id.clone(), run)))
    }
}

/// The end of a run.
#[derive(Clone, Copy, Debug)]
pub struct EndedRun<'a> {
    /// Task that was run.
    pub task: &'a TaskId,
    /// Identifier of the worker that listed the end.
    pub worker: &'a str,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub end: RunEnd,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: &'a str,
}
