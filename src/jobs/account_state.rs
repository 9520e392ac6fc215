//! What the scheduler keeps about client accounts beside their usage: the index of the
//! configured ones, their submission rates, and the capacity that shares refer to.

use std::collections::HashMap;
use std::collections::HashSet;

use crate::jobs::account::AccountConfig;
use crate::jobs::account::AccountName;
use crate::jobs::callers::Submission;
use crate::jobs::engine::JobEngine;
use crate::jobs::job::JobEntry;
use crate::jobs::rate::AccountRates;
use crate::jobs::share::mean_weight;
use crate::jobs::types::ResourceVector;

/// Maximum number of accounts with a metric of their own.
const MAX_METRIC_ACCOUNTS: usize = 100;

/// Label of the metrics of all other accounts.
const OTHER_ACCOUNTS: &str = "other";

/// Minimum time between two log lines about jobs beyond their rate, in milliseconds.
const RATE_LOG_MS: u64 = 1000;

/// What the scheduler keeps about accounts.
#[derive(Clone, Debug, Default)]
pub struct AccountState {
    /// Position of each account in the configuration.
    index: HashMap<String, usize>,
    /// Mean weight of the configured accounts.
    pub(crate) mean_weight: f64,
    /// Resources of the schedulable workers of each pool, as of `capacity_ms`.
    pub(crate) capacity: HashMap<String, ResourceVector>,
    /// When the capacities were last computed; none if they must be computed next.
    pub(crate) capacity_ms: Option<u64>,
    rates: AccountRates,
    /// Jobs beyond the rate since the last log line.
    beyond_rate: u64,
    /// When jobs beyond their rate were last logged.
    rate_logged_ms: u64,
    /// Accounts with a metric of their own.
    metric_accounts: HashSet<AccountName>,
}

impl AccountState {
    /// Returns the label of an account's metrics.
    fn metric_label(&mut self, account: &AccountName) -> String {
        let known = self.metric_accounts.contains(account);
        if !known && self.metric_accounts.len() >= MAX_METRIC_ACCOUNTS {
            return OTHER_ACCOUNTS.to_owned();
        }
        if !known {
            self.metric_accounts.insert(account.clone());
        }
        account.to_string()
    }
}

impl JobEngine {
    /// Applies the accounts of the current configuration.
    pub(crate) fn index_accounts(&mut self) {
        let had_accounts = !self.accounts.index.is_empty();
        let accounts = self.config.accounts.as_deref().unwrap_or_default();
        let names = accounts.iter().enumerate();
        self.accounts.index = names
            .map(|(at, account)| (account.name.clone(), at))
            .collect();
        self.accounts.mean_weight = mean_weight(accounts);
        let index = &self.accounts.index;
        self.accounts.rates.retain(|name| index.contains_key(name));
        self.accounts.capacity_ms = None;
        if had_accounts || self.config.accounts.is_some() {
            // The jobs' lanes depend on whether there are accounts.
            self.waiting.expire_ranks();
        }
    }

    /// Returns the configuration of an account.
    pub(crate) fn account_config(&self, name: &str) -> Option<&AccountConfig> {
        let at = *self.accounts.index.get(name)?;
        self.config.accounts.as_ref()?.get(at)
    }

    /// Takes a token of the account's rate; returns whether the job is beyond the rate. Jobs
    /// without an account, or whose account is not configured, have no rate.
    pub(crate) fn take_rate(&mut self, submission: &Submission, now: u64) -> bool {
        let Some(account) = &submission.account else {
            return false;
        };
        let Some(weight) = self.account_config(account).map(|config| config.weight) else {
            return false;
        };
        if self.accounts.rates.take(account, weight, now) {
            return false;
        }
        let state = &mut self.accounts;
        let label = state.metric_label(account);
        metrics::counter!("chicory_jobs_beyond_rate_total", "account" => label).increment(1);
        state.beyond_rate += 1;
        if now >= state.rate_logged_ms + RATE_LOG_MS {
            state.rate_logged_ms = now;
            let jobs = std::mem::take(&mut state.beyond_rate);
            log::info!(
                event = "job_beyond_rate", job = &*submission.id, account = &**account,
                weight = weight, jobs_since_last = jobs; ""
            );
        }
        true
    }

    /// Returns the token of a submission that was refused.
    pub(crate) fn give_back_rate(&mut self, submission: &Submission) {
        if let Some(account) = &submission.account
            && !submission.beyond_rate
        {
            self.accounts.rates.give_back(account);
        }
    }

    /// Counts a restored job in the rate of its account.
    pub(crate) fn restore_rate(&mut self, job: &JobEntry, now: u64) {
        if let Some(account) = &job.body.account {
            let submitted_ms = job.submitted_ms;
            self.accounts.rates.restore(account, submitted_ms, now);
        }
    }
}
