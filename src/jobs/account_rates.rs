//! Submission rates of the client accounts, and what their shares of a pool refer to: the
//! mean weight and the pools' capacity.

use std::collections::HashMap;

use crate::jobs::callers::Submission;
use crate::jobs::engine::JobEngine;
use crate::jobs::job::JobEntry;
use crate::jobs::rate::AccountRates;
use crate::jobs::share::mean_weight;
use crate::jobs::types::ResourceVector;

/// Minimum time between two log lines about jobs beyond their rate, in milliseconds.
const RATE_LOG_MS: u64 = 1000;

/// What rates and shares of the accounts are determined from.
#[derive(Clone, Debug, Default)]
pub struct AccountState {
    /// Whether the configuration in force has accounts.
    configured: bool,
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
}

impl JobEngine {
    /// Applies the accounts of the current configuration, which are indexed, to rates and
    /// shares.
    pub(crate) fn apply_weights(&mut self) {
        let accounts = self.config.accounts.as_deref().unwrap_or_default();
        self.accounts.mean_weight = mean_weight(accounts);
        let mut rates = std::mem::take(&mut self.accounts.rates);
        rates.retain(|name| self.account_config(name).is_some());
        self.accounts.rates = rates;
        self.accounts.capacity_ms = None;
        let is_configured = self.config.accounts.is_some();
        let was_configured = std::mem::replace(&mut self.accounts.configured, is_configured);
        if was_configured || is_configured {
            // The jobs' lanes depend on whether there are accounts.
            self.waiting.expire_ranks();
        }
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
        let label = self.account_label(account);
        let state = &mut self.accounts;
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
