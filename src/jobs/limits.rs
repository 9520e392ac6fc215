//! Limits of client accounts in placement: which tasks may start beside what their account
//! already uses.

use crate::jobs::account::AccountName;
use crate::jobs::engine::JobEngine;
use crate::jobs::ledger::allows_task;
use crate::jobs::ledger::fits_limit;
use crate::jobs::types::JobId;
use crate::jobs::types::ResourceVector;
use crate::jobs::types::StepSpec;
use crate::jobs::types::TaskId;

/// Minimum time between two log lines about accounts at their limit, in milliseconds.
const LIMIT_LOG_MS: u64 = 1000;

/// How the tasks of a step start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartKind {
    /// One task.
    Task,
    /// A further run of a task that has one.
    Copy,
    /// All tasks of a gang together.
    Gang,
}

impl JobEngine {
    /// Returns whether the limit of a job's account allows to start a task of a step, or all
    /// of them for a gang. Jobs without an account, or whose account is no longer configured,
    /// have no limit.
    pub(crate) fn account_allows(
        &mut self,
        id: &JobId,
        spec: &StepSpec,
        kind: StartKind,
        now: u64,
    ) -> bool {
        let Some(account) = self.jobs.get(id).and_then(|job| job.body.account.as_ref()) else {
            return true;
        };
        let Some(config) = self.account_config(account) else {
            return true;
        };
        let (limit, usage) = (config.limit, self.ledger.usage(account));
        let allows = match kind {
            StartKind::Task => allows_task(&limit, &usage, &spec.need),
            StartKind::Copy => fits_limit(&limit, &usage, &spec.need),
            StartKind::Gang => fits_limit(&limit, &usage, &spec.total_need()),
        };
        if !allows {
            let account = account.clone();
            self.log_limit(id, &account, &limit, &usage, now);
        }
        allows
    }

    /// Logs that tasks of an account wait for its limit, at a limited rate.
    fn log_limit(
        &mut self,
        id: &JobId,
        account: &AccountName,
        limit: &ResourceVector,
        usage: &ResourceVector,
        now: u64,
    ) {
        metrics::counter!("chicory_account_limit_waits_total", "account" => account.to_string())
            .increment(1);
        if now < self.limit_logged_ms + LIMIT_LOG_MS {
            return;
        }
        self.limit_logged_ms = now;
        log::info!(
            event = "account_at_limit", account = &**account, job = &**id, cpu = usage.cpu,
            cpu_limit = limit.cpu, memory_mb = usage.memory_mb, memory_limit_mb = limit.memory_mb; ""
        );
    }

    /// Adds a run to the usage of its job's account. Without accounts in the configuration,
    /// only the runs of jobs that have one are counted.
    pub(crate) fn count_run(&mut self, task: &TaskId, run: u32, need: ResourceVector) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let account = job.body.account.clone();
        if account.is_none() && self.config.accounts.is_none() {
            return;
        }
        let pool = self.pool_of(job).to_owned();
        self.ledger.begin(task, run, account.as_ref(), &pool, need);
    }

    /// Adds the runs of a restored job, which may be alive.
    pub(crate) fn count_restored_runs(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let runs = job.live_runs().filter_map(|(task, run)| {
            let need = job.step_spec(&task)?.need;
            Some((task, run.run, need))
        });
        let runs: Vec<_> = runs.collect();
        for (task, run, need) in runs {
            self.count_run(&task, run, need);
        }
    }
}
