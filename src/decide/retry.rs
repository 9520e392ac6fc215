//! When a request may be sent again.
//!
//! Each first send of a pool earns a share of a token and each further send
//! costs one, so that failures never multiply the load by more than that share.

use std::collections::BTreeMap;

use crate::names::PoolName;

/// Further sends allowed for each first send.
const RETRY_RATIO: f64 = 0.1;
/// Most tokens that a pool saves up; it also starts with them.
const MAX_TOKENS: f64 = 10.0;
/// Sends of one request, the first included.
pub const MAX_SENDS: u32 = 3;

/// Tokens for further sends, by pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetryBudget {
    tokens: BTreeMap<PoolName, f64>,
}

impl RetryBudget {
    /// Counts a first send.
    pub fn deposit(&mut self, pool: &PoolName) {
        // A pool without an entry has all its tokens.
        if let Some(tokens) = self.tokens.get_mut(pool) {
            *tokens = (*tokens + RETRY_RATIO).min(MAX_TOKENS);
        }
    }

    /// Takes a token for a further send; tells whether there was one.
    pub fn withdraw(&mut self, pool: &PoolName) -> bool {
        let tokens = self.tokens.entry(pool.clone()).or_insert(MAX_TOKENS);
        let allowed = *tokens >= 1.0;
        if allowed {
            *tokens -= 1.0;
        }
        allowed
    }

    /// Forgets pools that are not configured any more.
    pub fn retain(&mut self, known: impl Fn(&PoolName) -> bool) {
        self.tokens.retain(|pool, _| known(pool));
    }
}

/// What is known after a send that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Tells whether a request may be sent again, apart from budget and deadline.
#[must_use]
pub fn may_resend(failure: SendFailure, idempotent: bool, sends: u32) -> bool {
    let harmless = failure == SendFailure::NotRun || idempotent;
    harmless && sends < MAX_SENDS
}
