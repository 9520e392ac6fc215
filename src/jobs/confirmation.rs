//! Confirmation that the configuration in force is current.
//!
//! A configuration is confirmed by an answered read or watch of the operator's keys, and by
//! an entry VM that has the same version and was confirmed itself. An answer proves that the
//! version was current when the request was sent, so that time counts. A peer's confirmation
//! keeps its age: entry VMs that only reach each other cannot renew it.

/// Maximum age of the confirmation with which an entry VM without a configuration takes one
/// from a peer: a version must be in force everywhere 3,000 ms after its acknowledgement, so
/// a peer that was confirmed later than that has no key that is withdrawn for good.
pub const MAX_FIRST_AGE_MS: u64 = 3000;

/// Longest wait of a watch whose answers confirm the configuration, in milliseconds. The
/// confirmation is then at most two waits old, which is within [`MAX_FIRST_AGE_MS`].
const MAX_WATCH_WAIT_MS: u64 = 1000;

/// Shortest such wait, in milliseconds; bounds the store calls of a short limit.
const MIN_WATCH_WAIT_MS: u64 = 250;

/// When the configuration in force was last known to be current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigConfirmation {
    confirmed_ms: Option<u64>,
}

impl ConfigConfirmation {
    /// Records that the configuration was current at a time, in milliseconds on the boot
    /// clock.
    pub fn confirm(&mut self, as_of_ms: u64) {
        self.confirmed_ms = self.confirmed_ms.max(Some(as_of_ms));
    }

    /// Records the answer of a peer that has the same version and whose confirmation had
    /// this age when it answered a request that was sent at `sent_ms`.
    pub fn confirm_from_peer(&mut self, sent_ms: u64, age_ms: u64) {
        if let Some(as_of_ms) = sent_ms.checked_sub(age_ms) {
            self.confirm(as_of_ms);
        }
    }

    /// Returns the time since the last confirmation, in milliseconds; none if there was none.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let confirmed_ms = self.confirmed_ms?;
        Some(now_ms.saturating_sub(confirmed_ms))
    }
}

/// Whether API keys are accepted while it is not known that they are still valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RevocationPolicy {
    /// Whether keys are refused if the configuration was not confirmed within the limit.
    pub strict: bool,
    /// Maximum age of the confirmation, in milliseconds.
    pub limit_ms: u64,
}

impl Default for RevocationPolicy {
    fn default() -> Self {
        Self {
            strict: false,
            limit_ms: 5000,
        }
    }
}

impl RevocationPolicy {
    /// Returns whether API keys can be checked with a configuration whose confirmation has
    /// this age.
    #[must_use]
    pub fn allows(&self, age_ms: Option<u64>) -> bool {
        !self.strict || age_ms.is_some_and(|age_ms| age_ms <= self.limit_ms)
    }

    /// Returns the longest wait of a watch that confirms the configuration, in milliseconds:
    /// at most a quarter of the limit, so that a lost answer and an exchange with a peer fit
    /// into it.
    #[must_use]
    pub fn watch_wait_ms(&self) -> u64 {
        if self.strict {
            (self.limit_ms / 4).clamp(MIN_WATCH_WAIT_MS, MAX_WATCH_WAIT_MS)
        } else {
            MAX_WATCH_WAIT_MS
        }
    }
}

/// A peer's configuration, in a deployment that has client accounts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerConfig {
    /// Whether it came with the part about accounts, which entry VMs of earlier versions do
    /// not send.
    pub has_account_part: bool,
    /// Whether the receiver has no configuration yet.
    pub is_first: bool,
    /// Age of its confirmation; none if there was none, or if the message is not an answer.
    pub age_ms: Option<u64>,
}

impl PeerConfig {
    /// Returns why the configuration must not be put in force; none if it may be.
    #[must_use]
    pub fn refusal(&self) -> Option<&'static str> {
        let is_recent = self.age_ms.is_some_and(|age_ms| age_ms <= MAX_FIRST_AGE_MS);
        if !self.has_account_part {
            // It would put all API keys out of force.
            Some("without_accounts")
        } else if self.is_first && !is_recent {
            // It may have keys that were withdrawn before this process started.
            Some("unconfirmed")
        } else {
            None
        }
    }
}
