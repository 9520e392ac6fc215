//! Which workers a call to the advice service names for a gang.
//!
//! All members of a gang need workers with tickets at the same time, on one rack if the gang is
//! slower across racks. So a call names enough workers for those members that have none yet, and
//! counts a ticket only if it is still valid when the answer arrives.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::jobs::advice::AdviceCandidates;
use crate::jobs::advice_requests::AdviceRequest;
use crate::jobs::capability::tasks_at;
use crate::jobs::choose::is_eligible;
use crate::jobs::config::AdviceTiming;
use crate::jobs::engine::JobEngine;
use crate::jobs::worker::WorkerView;

/// Maximum number of workers in a call.
const MAX_NAMED_WORKERS: usize = 100;

/// Workers beyond those that hold all members, since the service may not allow all.
const SPARE_WORKERS: usize = 3;

/// A worker that could run members of a gang.
struct GangWorker<'a> {
    id: &'a str,
    /// Number of members that it could run.
    members: u64,
    has_ticket: bool,
}

impl JobEngine {
    /// Returns the workers to name in a call for a gang: those of the first rack, or of the pool,
    /// that have room for all members. None if there is no such rack.
    pub(crate) fn gang_candidates(
        &self,
        request: &AdviceRequest,
        timing: AdviceTiming,
        now: u64,
    ) -> AdviceCandidates {
        let response_ms = timing.response_ms(MAX_NAMED_WORKERS.min(self.workers.len()));
        let spec = &request.spec;
        let mut racks: BTreeMap<(bool, &str), Vec<GangWorker>> = BTreeMap::new();
        for (id, view) in &self.workers {
            let members = self.gang_members_at(request, id, view, now);
            if members == 0 {
                continue;
            }
            let rack = if spec.one_rack { view.rack() } else { "" };
            let workers = racks.entry((rack != spec.data_rack, rack)).or_default();
            workers.push(GangWorker {
                id,
                members,
                has_ticket: self.has_ticket(&request.task, id, now.saturating_add(response_ms)),
            });
        }
        let tasks = u64::from(spec.tasks);
        let rack = racks.into_values().find(|rack| count(rack) >= tasks);
        let (held, mut open): (Vec<_>, Vec<_>) = rack
            .into_iter()
            .flatten()
            .partition(|worker| worker.has_ticket);
        open.sort_unstable_by_key(|worker| (Reverse(worker.members), worker.id));
        let missing = tasks.saturating_sub(count(&held));
        let mut members = 0;
        let needed = open.iter().take_while(|worker| {
            let is_needed = members < missing;
            members += worker.members;
            is_needed
        });
        let named = match needed.count() {
            0 => 0,
            needed => (needed + SPARE_WORKERS).min(MAX_NAMED_WORKERS),
        };
        let workers = open.iter().take(named).map(|worker| worker.id.to_owned());
        AdviceCandidates {
            workers: workers.collect(),
            fits: true,
        }
    }

    /// Returns how many members of a gang a worker could run, if it may be allowed to.
    fn gang_members_at(
        &self,
        request: &AdviceRequest,
        worker: &str,
        view: &WorkerView,
        now: u64,
    ) -> u64 {
        let spec = &request.spec;
        let is_refused = self.is_refused(&request.task, worker);
        if is_refused || !is_eligible(&request.pool, spec, view, now) {
            return 0;
        }
        let members = tasks_at(&view.free(), &spec.reserved());
        match spec.per_worker {
            0 => members,
            limit => members.min(
                limit
                    .saturating_sub(self.runs_at(&request.task, worker))
                    .into(),
            ),
        }
    }
}

fn count(workers: &[GangWorker]) -> u64 {
    let members = workers.iter().map(|worker| worker.members);
    members.fold(0, u64::saturating_add)
}
