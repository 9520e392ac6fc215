//! Requests for advice of a placement pass, and the order in which they are sent.
//!
//! The service handles one call at a time, so the queues share its time, as in start-time fair
//! queueing: each queue has a virtual clock, which a call advances by its response time, and the
//! queue that is furthest behind goes first. The steps of a queue go in the order in which the pass
//! tries them. Steps that could not start at once, even with tickets, come after the others; of these,
//! those last whose tickets of an earlier call may still be valid.

use std::collections::HashMap;

use crate::jobs::types::StepSpec;
use crate::jobs::types::TaskId;

/// A step that found no worker with a ticket.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceRequest {
    /// Any waiting task of the step.
    pub task: TaskId,
    /// What the step needs.
    pub spec: StepSpec,
    /// Pool of its workers.
    pub pool: String,
    /// Queue of its job.
    pub queue: String,
    /// Whether it may only start on the rack of its data for now.
    pub is_rack_bound: bool,
    /// Whether tickets of its last call may still be valid.
    pub is_recent: bool,
}

/// Requests of the current pass, and the virtual clocks of the queues, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdviceRequests {
    requests: Vec<AdviceRequest>,
    /// Clock of the queue that was served last, when it was.
    clock_ms: u64,
    /// Clocks of the queues that are ahead of it.
    ahead: HashMap<String, u64>,
}

impl AdviceRequests {
    /// Adds a request.
    pub fn push(&mut self, request: AdviceRequest) {
        self.requests.push(request);
    }

    /// Returns and removes the requests in the order of their queues' clocks.
    pub fn take_ordered(&mut self) -> Vec<AdviceRequest> {
        let mut requests = std::mem::take(&mut self.requests);
        requests.sort_by_key(|request| self.queue_clock(&request.queue));
        requests
    }

    /// Records that a call with this response time is sent for a queue.
    pub fn record_call(&mut self, queue: &str, response_ms: u64) {
        let clock_ms = self.queue_clock(queue);
        self.clock_ms = clock_ms;
        self.ahead
            .insert(queue.to_owned(), clock_ms.saturating_add(response_ms));
        self.ahead.retain(|_, ahead_ms| *ahead_ms > clock_ms);
    }

    /// Returns the clock of a queue; one that made no requests has no credit for that time.
    fn queue_clock(&self, queue: &str) -> u64 {
        let ahead_ms = self.ahead.get(queue).copied();
        ahead_ms.unwrap_or(self.clock_ms).max(self.clock_ms)
    }
}
