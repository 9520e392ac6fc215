//! Placement of gangs: steps whose tasks must all run at the same time.

use crate::jobs::choose::is_eligible;
use crate::jobs::engine::JobEngine;
use crate::jobs::types::StepSpec;
use crate::jobs::types::TaskId;
use crate::jobs::worker::WorkerView;

impl JobEngine {
    /// Places all tasks of a gang, or none if not all fit; returns whether they were placed.
    ///
    /// A gang that is slower across racks is placed on one rack, preferably that of its
    /// data.
    pub(crate) fn place_gang(
        &mut self,
        first: &TaskId,
        pool: &str,
        spec: &StepSpec,
        now: u64,
    ) -> bool {
        let racks: Vec<Option<String>> = if spec.one_rack {
            let in_pool = self.workers.values().filter(|view| view.entry.pool == pool);
            let mut racks: Vec<String> = in_pool.map(|view| view.rack().to_owned()).collect();
            racks.sort_unstable();
            racks.dedup();
            racks.sort_by_key(|rack| *rack != spec.data_rack);
            racks.into_iter().map(Some).collect()
        } else {
            vec![None]
        };
        let mut is_isolated = self.is_suspect(first);
        if is_isolated && self.gang_awaits_evidence(first, now) {
            return false;
        }
        let assign = |is_isolated| {
            racks.iter().find_map(|rack| {
                self.assign_gang(first, pool, spec, rack.as_deref(), is_isolated, now)
            })
        };
        let mut assignment = assign(is_isolated);
        if is_isolated && assignment.is_none() && !self.gang_awaits_isolation(first, now) {
            is_isolated = false;
            assignment = assign(false);
        }
        if assignment.is_none() {
            self.request_advice(first, pool, spec, false, now);
        }
        let placed = assignment.is_some();
        for (index, worker) in assignment.into_iter().flatten().enumerate() {
            let task = TaskId {
                index: index as u32,
                ..first.clone()
            };
            if is_isolated {
                self.reserve_worker(&task, &worker, spec, now);
            } else {
                self.reserve(&task, &worker, spec, now);
            }
        }
        placed
    }

    /// Returns one worker for each task of a gang, or none if not all tasks fit on the
    /// workers of the rack; without a rack, on those of the pool. With `is_isolated`, each
    /// task is on a worker of its own that is ready for an isolated start.
    fn assign_gang(
        &self,
        first: &TaskId,
        pool: &str,
        spec: &StepSpec,
        rack: Option<&str>,
        is_isolated: bool,
        now: u64,
    ) -> Option<Vec<String>> {
        let need = spec.reserved();
        let mut chosen = Vec::new();
        let on_rack = |view: &WorkerView| rack.is_none_or(|rack| view.rack() == rack);
        let workers = self.workers.iter();
        let eligible = workers.filter(|(id, view)| {
            on_rack(view) && is_eligible(pool, spec, view, now) && self.is_advised(first, id, now)
        });
        let eligible = eligible.filter(|(id, _)| !is_isolated || self.is_quiet(first, id, now));
        let mut eligible: Vec<_> = eligible.collect();
        eligible.sort_unstable_by_key(|(id, _)| *id);
        for (id, view) in eligible {
            let mut free = view.free();
            let mut runs = self.runs_at(first, id);
            let max = if is_isolated {
                chosen.len() + 1
            } else {
                spec.tasks as usize
            };
            while chosen.len() < max.min(spec.tasks as usize)
                && free.covers(&need)
                && (spec.per_worker == 0 || runs < spec.per_worker)
            {
                free = free.saturating_sub(&need);
                runs += 1;
                chosen.push(id.clone());
            }
        }
        (chosen.len() == spec.tasks as usize).then_some(chosen)
    }
}
