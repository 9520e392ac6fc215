//! The platform's advice service in the simulation: it handles one call at a time, also those that
//! the scheduler has given up, and its answer about a worker never changes.

use std::collections::BTreeMap;

use chicorygauge::jobs::config::AdviceTiming;
use chicorygauge::ports::AdviceCall;
use chicorygauge::ports::AdviceReply;

/// Returns whether a worker (second argument) may run a step (first argument).
pub type AdvicePolicy = fn(&str, &str) -> bool;

/// Permission of a ticket: step, worker, the start of its incarnation, and expiry.
type TicketGrant = (String, String, u64, u64);

/// A simulated advice service.
#[derive(Clone, Debug)]
pub struct AdviceService {
    /// Response times and validity of tickets, by queue.
    pub timings: BTreeMap<String, AdviceTiming>,
    /// Which workers may run a step.
    pub policy: AdvicePolicy,
    /// Whether calls get no answer.
    pub is_silent: bool,
    /// Calls and when they arrived.
    pub calls: Vec<(u64, AdviceCall)>,
    /// Number of starts without a valid ticket.
    pub refused_starts: usize,
    tickets: BTreeMap<String, TicketGrant>,
    /// When the last call that was accepted ends.
    busy_until_ms: u64,
}

impl AdviceService {
    /// Returns a service that allows all workers.
    #[must_use]
    pub fn new(queue: &str, timing: AdviceTiming) -> Self {
        Self {
            timings: BTreeMap::from([(queue.to_owned(), timing)]),
            policy: |_, _| true,
            is_silent: false,
            calls: Vec::new(),
            refused_starts: 0,
            tickets: BTreeMap::new(),
            busy_until_ms: 0,
        }
    }

    fn timing(&self, queue: &str) -> AdviceTiming {
        *self.timings.get(queue).expect("a queue with advice")
    }

    /// Accepts a call that arrives at `now`; returns when it is answered.
    pub fn accept(&mut self, queue: &str, call: &AdviceCall, now: u64) -> u64 {
        let timing = self.timing(queue);
        let took_ms = timing.call_ms + timing.worker_ms * call.workers.len() as u64;
        self.busy_until_ms = self.busy_until_ms.max(now) + took_ms;
        self.calls.push((now, call.clone()));
        self.busy_until_ms
    }

    /// Answers a call; `births` are the starts of the workers' incarnations.
    pub fn answer(
        &mut self,
        queue: &str,
        call: &AdviceCall,
        births: &BTreeMap<String, u64>,
        now: u64,
    ) -> AdviceReply {
        let valid_ms = self.timing(queue).valid_ms;
        let mut tickets = Vec::new();
        for worker in &call.workers {
            if (self.policy)(&call.step, worker) {
                let ticket = format!("ticket-{}", self.tickets.len());
                let born_ms = births.get(worker).copied().unwrap_or(0);
                let grant = (call.step.clone(), worker.clone(), born_ms, now + valid_ms);
                self.tickets.insert(ticket.clone(), grant);
                tickets.push((worker.clone(), ticket));
            }
        }
        AdviceReply::Allowed { tickets, valid_ms }
    }

    /// Returns whether a ticket holds for a step at an incarnation of a worker.
    pub fn accepts(
        &mut self,
        ticket: &str,
        (step, worker, born_ms): (&str, &str, u64),
        now: u64,
    ) -> bool {
        let is_valid = self.tickets.get(ticket).is_some_and(|grant| {
            (grant.0.as_str(), grant.1.as_str(), grant.2) == (step, worker, born_ms)
                && now <= grant.3
        });
        self.refused_starts += usize::from(!is_valid);
        is_valid
    }
}
