//! Limits of client accounts in placement: which tasks may start beside what their account
//! already uses, and which pools are tried again when an account uses less.

use std::collections::BTreeSet;
use std::collections::HashMap;

use crate::jobs::account::AccountConfig;
use crate::jobs::account::AccountName;
use crate::jobs::engine::JobEngine;
use crate::jobs::ledger::AccountLedger;
use crate::jobs::ledger::RunUsage;
use crate::jobs::ledger::allows_task;
use crate::jobs::ledger::fits_limit;
use crate::jobs::types::JobId;
use crate::jobs::types::JobSpec;
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

/// Tasks of an account that wait for its limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct LimitWait {
    /// Pools in which some waited since a run of the account last ended.
    pools: Vec<String>,
    /// Number of checks that failed since this was last added to the metrics.
    pub checks: u64,
}

impl LimitWait {
    /// Returns whether pools are to be tried again once the account uses less.
    pub fn is_pending(&self) -> bool {
        !self.pools.is_empty()
    }
}

/// Bookkeeping of the accounts' limits besides their usage.
#[derive(Clone, Debug, Default)]
pub(crate) struct LimitState {
    /// Position of each account in the configuration.
    index: HashMap<String, usize>,
    /// Waiting tasks by account.
    pub waits: HashMap<AccountName, LimitWait>,
    /// Number of failed checks of all accounts.
    pub failed_checks: u64,
    /// When an account at its limit was last logged.
    logged_ms: u64,
    /// Accounts that have metrics of their own.
    pub labels: BTreeSet<String>,
    /// When the metrics by account were last updated.
    pub metrics_ms: u64,
}

impl JobEngine {
    /// Indexes the accounts of the current configuration, and counts the runs anew: which
    /// ones count depends on whether there are accounts, and their pools may have changed.
    pub(crate) fn apply_accounts(&mut self) {
        let accounts = self.config.accounts.iter().flatten().enumerate();
        self.limits.index = accounts
            .map(|(at, account)| (account.name.clone(), at))
            .collect();
        self.ledger = self.live_usage();
        self.apply_weights();
    }

    /// Returns the configuration of an account; none if it is not configured.
    #[must_use]
    pub fn account_config(&self, name: &str) -> Option<&AccountConfig> {
        let at = *self.limits.index.get(name)?;
        self.config.accounts.as_ref()?.get(at)
    }

    /// Returns whether the limit of a job's account allows to start a task of a step, or all
    /// of them for a gang. Jobs without an account, or whose account is not configured, have
    /// no limit.
    pub(crate) fn account_allows(
        &mut self,
        id: &JobId,
        spec: &StepSpec,
        kind: StartKind,
        now: u64,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let Some(account) = &job.body.account else {
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
            self.record_limit_wait(id, &account, &limit, &usage, now);
        }
        allows
    }

    /// Returns whether a job's account uses so much that none of the job's tasks can start.
    pub(crate) fn is_exhausted(&mut self, id: &JobId, now: u64) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let Some(account) = &job.body.account else {
            return false;
        };
        let Some(config) = self.account_config(account) else {
            return false;
        };
        let (limit, usage) = (config.limit, self.ledger.usage(account));
        let mut steps = job.body.spec.steps.iter();
        let is_exhausted = steps.all(|step| !allows_task(&limit, &usage, &step.need));
        if is_exhausted {
            let account = account.clone();
            self.record_limit_wait(id, &account, &limit, &usage, now);
        }
        is_exhausted
    }

    /// Records that tasks of a job wait for its account's limit, so that its pool is due once
    /// a run of the account ends. Logs it at a limited rate.
    fn record_limit_wait(
        &mut self,
        id: &JobId,
        account: &AccountName,
        limit: &ResourceVector,
        usage: &ResourceVector,
        now: u64,
    ) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let pool = self.pool_of(job);
        let known = self.limits.waits.get(account);
        let is_new = known.is_none_or(|wait| !wait.pools.iter().any(|known| known == pool));
        let pool = is_new.then(|| pool.to_owned());
        let wait = self.limits.waits.entry(account.clone()).or_default();
        wait.pools.extend(pool);
        wait.checks += 1;
        self.limits.failed_checks += 1;
        if now < self.limits.logged_ms + LIMIT_LOG_MS {
            return;
        }
        self.limits.logged_ms = now;
        log::info!(
            event = "account_at_limit", account = &**account, job = &**id, cpu = usage.cpu,
            cpu_limit = limit.cpu, memory_mb = usage.memory_mb, memory_limit_mb = limit.memory_mb,
            gpu = usage.gpu, gpu_limit = limit.gpu; ""
        );
    }

    /// Returns the position of the first gang that is wider than an account's limit and so
    /// could never start.
    #[must_use]
    pub fn gang_beyond_limit(
        &self,
        account: Option<&AccountName>,
        spec: &JobSpec,
    ) -> Option<usize> {
        let config = self.account_config(account?)?;
        let unused = ResourceVector::default();
        let mut steps = spec.steps.iter();
        steps.position(|step| step.gang && !fits_limit(&config.limit, &unused, &step.total_need()))
    }

    /// Adds a run to the usage of its job's account. Without accounts in the configuration,
    /// only the runs of jobs that have one are counted.
    pub(crate) fn count_run(
        &mut self,
        task: &TaskId,
        worker: &str,
        run: u32,
        need: ResourceVector,
    ) {
        if let Some(usage) = self.run_usage(&task.job, need) {
            self.ledger.begin(task, worker, run, usage);
        }
    }

    /// Removes a run that is certainly over from the usage of its account, and makes the
    /// pools due in which tasks waited for the account's limit.
    pub(crate) fn discount_run(&mut self, task: &TaskId, worker: &str, run: u32) {
        let ended = self.ledger.end(task, worker, run);
        let Some(account) = ended.and_then(|usage| usage.account) else {
            return;
        };
        if let Some(wait) = self.limits.waits.get_mut(&account) {
            for pool in wait.pools.drain(..) {
                self.waiting.mark_due(&pool);
            }
        }
    }

    /// Adds the runs of a restored job, which may be alive.
    pub(crate) fn count_restored_runs(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let runs = job.live_runs().filter_map(|(task, run)| {
            let need = job.step_spec(&task)?.need;
            Some((task, run.worker.clone(), run.run, need))
        });
        let runs: Vec<_> = runs.collect();
        for (task, worker, run, need) in runs {
            self.count_run(&task, &worker, run, need);
        }
    }

    /// Returns a ledger of all runs that may be alive; the one in use equals it at any time,
    /// except for the pool of a run whose queue has moved to another pool.
    #[must_use]
    pub fn live_usage(&self) -> AccountLedger {
        let mut ledger = AccountLedger::default();
        for job in self.jobs.values() {
            for (task, run) in job.live_runs() {
                let need = job.step_spec(&task).map(|spec| spec.need);
                if let Some(usage) = self.run_usage(&job.id, need.unwrap_or_default()) {
                    ledger.begin(&task, &run.worker, run.run, usage);
                }
            }
        }
        ledger
    }

    /// Returns what a run of a job counts with; none if it does not count.
    fn run_usage(&self, id: &JobId, need: ResourceVector) -> Option<RunUsage> {
        let job = self.jobs.get(id)?;
        let account = job.body.account.clone();
        if account.is_none() && self.config.accounts.is_none() {
            return None;
        }
        Some(RunUsage {
            account,
            pool: self.pool_of(job).to_owned(),
            need,
        })
    }
}
