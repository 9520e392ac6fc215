//! Submission rates of client accounts: a token bucket for each account.
//!
//! Each job that is submitted takes a token; a job that finds none is beyond the rate of
//! its account. A bucket holds the tokens of one second. Buckets are kept in memory; a
//! successor rebuilds them from the jobs of the last second.

use std::collections::HashMap;

use crate::jobs::account::AccountName;

/// Time whose tokens a bucket holds, in milliseconds.
const BUCKET_MS: u64 = 1000;

/// Tokens of an account.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    /// Weight of the account, in tokens per second.
    weight: f64,
    tokens: f64,
    /// When the tokens were last computed.
    updated_ms: u64,
}

impl TokenBucket {
    /// Returns a full bucket.
    fn new(weight: f64, now: u64) -> Self {
        Self {
            weight,
            tokens: capacity(weight),
            updated_ms: now,
        }
    }

    /// Adds the tokens since the last update, at the rate of the weight until then. A
    /// change of weight keeps the fill level in proportion to the capacity.
    fn refill(&mut self, weight: f64, now: u64) {
        let elapsed_ms = now.saturating_sub(self.updated_ms);
        let full = capacity(self.weight);
        let tokens = self.tokens + self.weight * elapsed_ms as f64 / BUCKET_MS as f64;
        self.tokens = tokens.min(full) * capacity(weight) / full;
        self.weight = weight;
        self.updated_ms = self.updated_ms.max(now);
    }

    fn take(&mut self) -> bool {
        // Sums of fractions may stay just below a whole token.
        const ROUNDING: f64 = 1e-6;
        let taken = self.tokens + ROUNDING >= 1.0;
        if taken {
            self.tokens = (self.tokens - 1.0).max(0.0);
        }
        taken
    }
}

/// Returns the tokens that a full bucket holds; at least 1, so that accounts with a small
/// weight can submit at all.
fn capacity(weight: f64) -> f64 {
    (weight * BUCKET_MS as f64 / 1000.0).max(1.0)
}

/// Token buckets of all accounts.
#[derive(Clone, Debug, Default)]
pub struct AccountRates {
    buckets: HashMap<AccountName, TokenBucket>,
    /// Acceptance times of restored jobs by account, until its bucket is built from them.
    restored: HashMap<AccountName, Vec<u64>>,
}

impl AccountRates {
    /// Takes a token for a job; returns false if the job is beyond the account's rate of
    /// `weight` jobs a second.
    pub fn take(&mut self, account: &AccountName, weight: f64, now: u64) -> bool {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.refill(weight, now);
            return bucket.take();
        }
        let mut bucket = TokenBucket::new(weight, now.saturating_sub(BUCKET_MS));
        let mut times = self.restored.remove(account).unwrap_or_default();
        times.sort_unstable();
        let recent = times.into_iter().filter(|time| time + BUCKET_MS >= now);
        for time in recent {
            bucket.refill(weight, time);
            bucket.take();
        }
        bucket.refill(weight, now);
        let taken = bucket.take();
        self.buckets.insert(account.clone(), bucket);
        taken
    }

    /// Returns the token of a job that was refused for another reason. So the retries of
    /// one job take one token together.
    pub fn give_back(&mut self, account: &AccountName) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.tokens = (bucket.tokens + 1.0).min(capacity(bucket.weight));
        }
    }

    /// Adds a job that a former owner accepted; older ones than a bucket covers are left out.
    pub fn restore(&mut self, account: &AccountName, submitted_ms: u64, now: u64) {
        if submitted_ms + BUCKET_MS >= now {
            let times = self.restored.entry(account.clone()).or_default();
            times.push(submitted_ms);
        }
    }

    /// Drops the buckets of accounts for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.buckets.retain(|account, _| keep(account));
        self.restored.retain(|account, _| keep(account));
    }
}
