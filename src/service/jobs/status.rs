//! Whether the configuration in force may be used to check API keys.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use crate::clock::boot_ms;
use crate::jobs::confirmation::ConfigConfirmation;

/// What is known of the configuration in force; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct ConfigStatus {
    /// Whether configurations of this deployment have client accounts.
    pub needs_accounts: bool,
    confirmation: Arc<Mutex<ConfigConfirmation>>,
    peers_asked: Arc<AtomicBool>,
}

impl ConfigStatus {
    /// Returns the status of an entry VM that has no configuration.
    #[must_use]
    pub fn new(needs_accounts: bool) -> Self {
        Self {
            needs_accounts,
            ..Self::default()
        }
    }

    /// Records that the configuration in force was current at a time, in milliseconds on the
    /// boot clock.
    pub fn confirm(&self, as_of_ms: u64) {
        self.lock().confirm(as_of_ms);
    }

    /// Records the answer of a peer; see [`ConfigConfirmation::confirm_from_peer`].
    pub fn confirm_from_peer(&self, sent_ms: u64, age_ms: u64) {
        self.lock().confirm_from_peer(sent_ms, age_ms);
    }

    /// Returns the time since the configuration in force was confirmed as current, in
    /// milliseconds; none if it was not.
    #[must_use]
    pub fn age_ms(&self) -> Option<u64> {
        self.lock().age_ms(boot_ms())
    }

    /// Records that a peer has answered that has no newer configuration, or that none can be
    /// asked.
    pub fn set_peers_asked(&self) {
        self.peers_asked.store(true, Ordering::Relaxed);
    }

    /// Returns whether the configuration in force may be used. In a deployment with accounts,
    /// a peer is asked for a newer one first: the read at the start of the process may have
    /// been stale, and a withdrawn key must not be accepted again.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        !self.needs_accounts || self.peers_asked.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, ConfigConfirmation> {
        let confirmation = self.confirmation.lock();
        confirmation.unwrap_or_else(PoisonError::into_inner)
    }
}
