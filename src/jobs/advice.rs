//! Tickets of the advice service: which workers a step may use.
//!
//! An answer takes longer the more workers it names, and the service takes one
//! question at a time, so few workers are named, those that would be chosen.

use crate::jobs::actions::Action;
use crate::jobs::engine::JobEngine;
use crate::jobs::task::StepAdvice;
use crate::jobs::types::StepSpec;
use crate::jobs::types::TaskId;
use crate::ports::AdviceCall;
use crate::ports::AdviceReply;

/// Most workers in one question.
const MOST_NAMED: usize = 10;

/// Workers named beyond the tasks that wait, since not all are allowed.
const SPARE_NAMED: usize = 3;

/// A ticket is used only if it holds for this much longer, in milliseconds: the
/// start must reach its worker in time.
const TICKET_MARGIN_MS: u64 = 250;

/// Pause after a question that was not answered, in milliseconds.
const ASK_PAUSE_MS: u64 = 200;

/// How long a worker that was not allowed is left out, in milliseconds.
const REFUSED_MS: u64 = 5000;

impl JobEngine {
    fn step_advice(&self, task: &TaskId) -> Option<&StepAdvice> {
        let steps = self.jobs.get(&task.job)?.open.get(&task.occurrence)?;
        Some(&steps.get(task.step as usize)?.advice)
    }

    fn step_advice_mut(&mut self, task: &TaskId) -> Option<&mut StepAdvice> {
        let steps = self
            .jobs
            .get_mut(&task.job)?
            .open
            .get_mut(&task.occurrence)?;
        Some(&mut steps.get_mut(task.step as usize)?.advice)
    }

    pub(crate) fn needs_advice(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let queue = job.and_then(|job| self.queue_of(job));
        queue.is_some_and(|queue| queue.advice.is_some())
    }

    /// Tells whether a task may run at a worker as far as advice goes.
    pub(crate) fn is_advised(&self, task: &TaskId, worker: &str, now: u64) -> bool {
        !self.needs_advice(task) || self.ticket_for(task, worker, now).is_some()
    }

    pub(crate) fn ticket_for(&self, task: &TaskId, worker: &str, now: u64) -> Option<String> {
        let (ticket, until_ms) = self.step_advice(task)?.tickets.get(worker)?;
        (now + TICKET_MARGIN_MS < *until_ms).then(|| ticket.clone())
    }

    pub(crate) fn forget_ticket(&mut self, task: &TaskId, worker: &str) {
        if let Some(advice) = self.step_advice_mut(task) {
            advice.tickets.remove(worker);
        }
    }

    /// Asks for advice on a step that waits for room, if its queue needs any.
    pub(crate) fn request_advice(&mut self, task: &TaskId, pool: &str, spec: &StepSpec, now: u64) {
        if !self.needs_advice(task) || self.advice_calls > 0 {
            return;
        }
        let Some(advice) = self.step_advice(task) else {
            return;
        };
        if advice.call_in_flight || now < advice.not_before_ms {
            return;
        }
        let need = spec.reserved();
        let mut named: Vec<(u64, String)> = Vec::new();
        for (id, view) in &self.workers {
            let refused = advice.refused.get(id).is_some_and(|until| now < *until);
            let labelled = spec.label.is_empty() || view.has_label(&spec.label);
            let known = self.ticket_for(task, id, now).is_some();
            if view.entry.pool == pool && view.is_schedulable(now) && labelled && !refused && !known
            {
                let fits = view.free().fits(&need);
                let far = !spec.data_rack.is_empty() && view.rack() != spec.data_rack;
                named.push((u64::from(!fits) * 2 + u64::from(far), id.clone()));
            }
        }
        named.sort_unstable();
        let most = (spec.tasks as usize + SPARE_NAMED).min(MOST_NAMED);
        let workers: Vec<String> = named.into_iter().map(|(_, id)| id).take(most).collect();
        if workers.is_empty() {
            return;
        }
        if let Some(advice) = self.step_advice_mut(task) {
            advice.call_in_flight = true;
        }
        self.advice_calls += 1;
        let step = format!("{}.{}.{}", task.job, task.occurrence, task.step);
        self.actions.push(Action::Advise {
            call: AdviceCall { step, workers },
            step: task.clone(),
        });
    }

    /// Takes in an answer of the advice service; none if there was no usable one.
    pub fn advice_answered(
        &mut self,
        task: &TaskId,
        asked: &[String],
        reply: Option<AdviceReply>,
        now: u64,
    ) {
        self.advice_calls = self.advice_calls.saturating_sub(1);
        self.placement_due = true;
        let Some(advice) = self.step_advice_mut(task) else {
            return;
        };
        advice.call_in_flight = false;
        let Some(AdviceReply::Allowed { tickets, valid_ms }) = reply else {
            advice.not_before_ms = now + ASK_PAUSE_MS;
            log::info!(event = "advice_missing", task:% = task; "");
            return;
        };
        for worker in asked {
            if !tickets.iter().any(|(allowed, _)| allowed == worker) {
                advice.refused.insert(worker.clone(), now + REFUSED_MS);
            }
        }
        for (worker, ticket) in tickets {
            advice.tickets.insert(worker, (ticket, now + valid_ms));
        }
    }
}
