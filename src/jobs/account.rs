//! Client accounts: API keys, shares and resource limits.
//!
//! A caller proves its account with an API key. Keys are secrets: only their digests are
//! held, and they are compared in constant time.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::jobs::types::ResourceVector;

/// Name of a client account.
pub type AccountName = Arc<str>;

/// Maximum length of an API key, in bytes.
pub const MAX_KEY_BYTES: usize = 256;

/// SHA-256 digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Returns the index that narrows the search for a key; it reveals 16 bits of the
    /// digest at most.
    fn bucket(&self) -> u16 {
        u16::from_be_bytes([self.0[0], self.0[1]])
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// A client account as configured.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AccountConfig {
    /// Unique name.
    pub name: String,
    /// Digests of its API keys.
    pub keys: Vec<KeyDigest>,
    /// Share of a full pool relative to other accounts, and the number of jobs that it may
    /// submit per second.
    pub weight: f64,
    /// Resources that its runs may use at all workers together; 0 for no limit.
    pub limit: ResourceVector,
}

/// Reason for which a call has no valid API key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyFault {
    /// The call carries no key.
    Missing,
    /// The key is empty.
    Empty,
    /// The call carries more than one key.
    Repeated,
    /// The key is longer than [`MAX_KEY_BYTES`].
    TooLong,
    /// The key has characters that are not printable ASCII.
    NotAscii,
    /// No account has this key.
    Unknown,
}

impl KeyFault {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Missing => "key_missing",
            Self::Empty => "key_empty",
            Self::Repeated => "key_repeated",
            Self::TooLong => "key_too_long",
            Self::NotAscii => "key_not_ascii",
            Self::Unknown => "key_unknown",
        }
    }
}

/// The accounts of a configuration version by API key.
#[derive(Clone, Debug, Default)]
pub struct AccountDirectory {
    buckets: HashMap<u16, Vec<(KeyDigest, AccountName)>>,
}

impl AccountDirectory {
    /// Indexes the keys of all accounts.
    #[must_use]
    pub fn new(accounts: &[AccountConfig]) -> Self {
        let mut buckets: HashMap<u16, Vec<(KeyDigest, AccountName)>> = HashMap::new();
        for account in accounts {
            let name: AccountName = account.name.as_str().into();
            for key in &account.keys {
                let bucket = buckets.entry(key.bucket()).or_default();
                bucket.push((*key, Arc::clone(&name)));
            }
        }
        Self { buckets }
    }

    /// Returns the account of a call, given the values of its key header.
    ///
    /// # Errors
    ///
    /// Fails if there is not exactly one well-formed key, or no account has it.
    pub fn authenticate<'k>(
        &self,
        mut keys: impl Iterator<Item = &'k [u8]>,
    ) -> Result<AccountName, KeyFault> {
        let key = keys.next().ok_or(KeyFault::Missing)?;
        if keys.next().is_some() {
            return Err(KeyFault::Repeated);
        }
        if key.is_empty() {
            return Err(KeyFault::Empty);
        }
        if key.len() > MAX_KEY_BYTES {
            return Err(KeyFault::TooLong);
        }
        if !key.iter().all(u8::is_ascii_graphic) {
            return Err(KeyFault::NotAscii);
        }
        let digest = KeyDigest::of(key);
        let bucket = self.buckets.get(&digest.bucket()).map(Vec::as_slice);
        let mut found = None;
        for (known, name) in bucket.unwrap_or_default() {
            if bool::from(known.0.ct_eq(&digest.0)) {
                found = Some(name);
            }
        }
        found.cloned().ok_or(KeyFault::Unknown)
    }
}
