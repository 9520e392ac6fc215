//! Limits on resending failed requests.
//!
//! Each pool has a token bucket: the first send of a request deposits a fraction of
//! a token and each resend withdraws a whole one. So in the long run resends add at
//! most that fraction to a pool's load, however many requests fail.

use std::collections::BTreeMap;

use crate::names::PoolName;

/// Tokens that each first send deposits; a resend costs one.
const RETRY_RATIO: f64 = 0.1;
/// Maximum number of tokens of a pool, and the number it starts with.
const MAX_TOKENS: f64 = 10.0;
/// Maximum number of sends of one request, including the first.
pub const MAX_SENDS: u32 = 3;

/// Tokens for resends, by pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetryBudget {
    /// A pool without an entry has [`MAX_TOKENS`].
    tokens: BTreeMap<PoolName, f64>,
}

impl RetryBudget {
    /// Deposits a fraction of a token for a first send.
    pub fn deposit(&mut self, pool: &PoolName) {
        if let Some(tokens) = self.tokens.get_mut(pool) {
            *tokens = (*tokens + RETRY_RATIO).min(MAX_TOKENS);
        }
    }

    /// Takes a token for a resend; returns whether there was one.
    pub fn withdraw(&mut self, pool: &PoolName) -> bool {
        let tokens = self.tokens.entry(pool.clone()).or_insert(MAX_TOKENS);
        let allowed = *tokens >= 1.0;
        if allowed {
            *tokens -= 1.0;
        }
        allowed
    }

    /// Drops the tokens of pools that are no longer configured.
    pub fn retain(&mut self, known: impl Fn(&PoolName) -> bool) {
        self.tokens.retain(|pool, _| known(pool));
    }
}

/// What is known about the execution of a request after a failed send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// The backend server did not run the request.
    NotRun,
    /// The backend server may have run the request.
    Unknown,
}

/// Returns whether a request may be resent after `sends` sends.
///
/// The caller checks the retry budget and the deadline.
#[must_use]
pub fn may_resend(failure: SendFailure, idempotent: bool, sends: u32) -> bool {
    let safe = failure == SendFailure::NotRun || idempotent;
    safe && sends < MAX_SENDS
}
