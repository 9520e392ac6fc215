//! Tickets from the advice service, which decides which workers a step may use.
//!
//! The service handles one request at a time, and its response time grows with the
//! number of candidate workers. Requests therefore list only a few candidates: those
//! that placement would prefer.

use std::collections::BTreeSet;

use crate::jobs::actions::Action;
use crate::jobs::advice_requests::AdviceRequest;
use crate::jobs::config::AdviceTiming;
use crate::jobs::config::JobConfig;
use crate::jobs::engine::JobEngine;
use crate::jobs::task::AdviceTicket;
use crate::jobs::task::StepAdvice;
use crate::jobs::types::StepSpec;
use crate::jobs::types::TaskId;
use crate::ports::AdviceCall;
use crate::ports::AdviceReply;

/// Maximum number of candidate workers in a request.
const MAX_CANDIDATES: usize = 10;

/// Candidates beyond the number of tasks, since the service may not allow all.
const SPARE_CANDIDATES: usize = 3;

/// Minimum remaining validity of a ticket with which a run is placed, in milliseconds: the placement
/// must be stored and the start arrive. At most half of its validity.
const PLACEMENT_MARGIN_MS: u64 = 250;

/// Minimum remaining validity of a ticket with which a start is sent, in milliseconds: a hop between
/// data centres. At most an eighth of its validity.
const START_MARGIN_MS: u64 = 10;

/// Workers to name in a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct AdviceCandidates {
    /// Identifiers of the workers.
    pub(crate) workers: Vec<String>,
    /// Whether the step could start at once if they are allowed.
    pub(crate) fits: bool,
}

impl AdviceTicket {
    fn may_place(&self, now: u64) -> bool {
        now.saturating_add(PLACEMENT_MARGIN_MS.min(self.valid_ms / 2)) < self.expiry_ms
    }

    fn may_start(&self, now: u64) -> bool {
        now.saturating_add(START_MARGIN_MS.min(self.valid_ms / 8)) < self.expiry_ms
    }
}

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
        job.is_some_and(|job| self.advice_of(job).is_some())
    }

    fn ticket(&self, task: &TaskId, worker: &str) -> Option<&AdviceTicket> {
        self.step_advice(task)?.tickets.get(worker)
    }

    /// Returns whether the task needs no advice or has a ticket for the worker with which a run can
    /// be placed.
    pub(crate) fn is_advised(&self, task: &TaskId, worker: &str, now: u64) -> bool {
        !self.needs_advice(task) || self.has_ticket(task, worker, now)
    }

    pub(crate) fn has_ticket(&self, task: &TaskId, worker: &str, now: u64) -> bool {
        let ticket = self.ticket(task, worker);
        ticket.is_some_and(|ticket| ticket.may_place(now))
    }

    /// Returns whether the service did not allow a worker to run the task's step.
    pub(crate) fn is_refused(&self, task: &TaskId, worker: &str) -> bool {
        self.step_advice(task)
            .is_some_and(|advice| advice.refused.contains(worker))
    }

    /// Returns whether a start of the task may be sent to the worker with the ticket that it has.
    pub(crate) fn may_start_with_ticket(&self, task: &TaskId, worker: &str, now: u64) -> bool {
        let ticket = self.ticket(task, worker);
        !self.needs_advice(task) || ticket.is_some_and(|ticket| ticket.may_start(now))
    }

    /// Returns the text of the ticket for a start; empty if there is none.
    pub(crate) fn ticket_text(&self, task: &TaskId, worker: &str) -> String {
        let ticket = self.ticket(task, worker);
        ticket.map_or_else(String::new, |ticket| ticket.text.clone())
    }

    pub(crate) fn remove_ticket(&mut self, task: &TaskId, worker: &str) {
        if let Some(advice) = self.step_advice_mut(task) {
            advice.tickets.remove(worker);
        }
    }

    /// Removes what the service said about a worker for all steps: it holds for one incarnation.
    pub(crate) fn remove_worker_advice(&mut self, worker: &str) {
        self.advice_calls.outdate();
        let steps = self.jobs.values_mut().flat_map(|job| job.open.values_mut());
        for step in steps.flatten() {
            step.advice.tickets.remove(worker);
            step.advice.refused.remove(worker);
        }
    }

    /// Forgets which workers were not allowed to run the steps of the queues whose advice differs
    /// from that of the former configuration: other workers may be allowed now.
    pub(crate) fn expire_refusals(&mut self, former: &JobConfig) {
        let queues = self.config.queues.iter();
        let changed = queues.filter(|queue| {
            let former = former.queue(&queue.name);
            former.is_none_or(|former| former.advice != queue.advice)
        });
        let changed: BTreeSet<&str> = changed.map(|queue| queue.name.as_str()).collect();
        if changed.is_empty() {
            return;
        }
        self.advice_calls.outdate();
        let jobs = self.jobs.values_mut();
        let jobs = jobs.filter(|job| changed.contains(job.body.queue.as_str()));
        for step in jobs.flat_map(|job| job.open.values_mut()).flatten() {
            step.advice.refused.clear();
        }
    }

    /// Requests advice for a step that found no worker, if its queue needs advice.
    pub(crate) fn request_advice(
        &mut self,
        task: &TaskId,
        pool: &str,
        spec: &StepSpec,
        is_rack_bound: bool,
        now: u64,
    ) {
        if !self.advice_calls.is_due(now) {
            return;
        }
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let (Some(timing), Some(advice)) = (self.advice_of(job), self.step_advice(task)) else {
            return;
        };
        let asked_ms = advice.asked_ms;
        self.advice_requests.push(AdviceRequest {
            task: task.clone(),
            spec: spec.clone(),
            pool: pool.to_owned(),
            queue: job.body.queue.clone(),
            is_rack_bound,
            is_recent: asked_ms
                .is_some_and(|asked_ms| now < asked_ms.saturating_add(timing.valid_ms)),
        });
    }

    /// Sends a call for one of the requests of a placement pass: the first one for a step that
    /// could start at once, or else the first one without recent tickets, or else the first one.
    pub(crate) fn send_advice_call(&mut self, now: u64) {
        let mut chosen: Option<(u32, AdviceRequest, AdviceTiming, Vec<String>)> = None;
        for request in self.advice_requests.take_ordered() {
            let job = self.jobs.get(&request.task.job);
            let Some(timing) = job.and_then(|job| self.advice_of(job)) else {
                continue;
            };
            let candidates = if request.spec.gang {
                self.gang_candidates(&request, timing, now)
            } else {
                self.advice_candidates(&request, now)
            };
            let rank = match (candidates.fits, request.is_recent) {
                (true, _) => 0,
                (false, false) => 1,
                (false, true) => 2,
            };
            let is_better = chosen.as_ref().is_none_or(|(best, ..)| rank < *best);
            if is_better && !candidates.workers.is_empty() {
                chosen = Some((rank, request, timing, candidates.workers));
            }
            if matches!(chosen, Some((0, ..))) {
                break;
            }
        }
        let Some((_, request, timing, workers)) = chosen else {
            return;
        };
        let task = request.task;
        if let Some(advice) = self.step_advice_mut(&task) {
            advice.asked_ms = Some(now);
        }
        let response_ms = timing.response_ms(workers.len());
        self.advice_requests
            .record_call(&request.queue, response_ms);
        let limit_ms = self.advice_calls.begin(response_ms, now);
        let step = format!("{}.{}.{}", task.job, task.occurrence, task.step);
        self.actions.push(Action::Advise {
            call: AdviceCall { step, workers },
            step: task,
            limit_ms,
        });
    }

    /// Returns the workers to name in a call, those that placement would prefer first.
    fn advice_candidates(&self, request: &AdviceRequest, now: u64) -> AdviceCandidates {
        let (task, spec) = (&request.task, &request.spec);
        let need = spec.reserved();
        let mut candidates: Vec<(u64, &String)> = Vec::new();
        for (id, view) in &self.workers {
            let labelled = spec.label.is_empty() || view.has_label(&spec.label);
            if view.entry.pool == request.pool
                && view.is_schedulable(now)
                && labelled
                && !self.is_refused(task, id)
                && !self.has_ticket(task, id, now)
            {
                let fits = view.free().covers(&need);
                let off_rack = !spec.data_rack.is_empty() && view.rack() != spec.data_rack;
                candidates.push((u64::from(!fits) * 2 + u64::from(off_rack), id));
            }
        }
        candidates.sort_unstable();
        let max = (spec.tasks as usize + SPARE_CANDIDATES).min(MAX_CANDIDATES);
        let max_cost = if request.is_rack_bound { 0 } else { 1 };
        let fits = candidates
            .first()
            .is_some_and(|(cost, _)| *cost <= max_cost);
        let workers = candidates.into_iter().map(|(_, id)| id.clone());
        AdviceCandidates {
            workers: workers.take(max).collect(),
            fits,
        }
    }

    /// Records an answer of the advice service; `reply` is none if there was no valid one.
    pub fn handle_advice_reply(
        &mut self,
        task: &TaskId,
        requested: &[String],
        reply: Option<AdviceReply>,
        now: u64,
    ) {
        let is_answered = matches!(reply, Some(AdviceReply::Allowed { .. }));
        let is_current = self.advice_calls.end(is_answered, now);
        self.waiting.mark_all_due();
        let Some(AdviceReply::Allowed { tickets, valid_ms }) = reply else {
            return;
        };
        let Some(advice) = self.step_advice_mut(task) else {
            return;
        };
        let is_allowed = |worker: &String| tickets.iter().any(|(allowed, _)| allowed == worker);
        let refused = requested.iter().filter(|worker| !is_allowed(worker));
        advice
            .refused
            .extend(refused.filter(|_| is_current).cloned());
        for (worker, text) in tickets {
            let ticket = AdviceTicket {
                text,
                expiry_ms: now.saturating_add(valid_ms),
                valid_ms,
            };
            advice.tickets.insert(worker, ticket);
        }
    }
}
