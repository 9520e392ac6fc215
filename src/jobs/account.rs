//! Client accounts: API keys, shares and resource limits.
//!
//! A caller proves its account with an API key. Keys are secrets: only their digests are
//! held, and they are compared in constant time.

use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use snafu::Snafu;
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

/// Checks the form of an API key.
///
/// # Errors
///
/// Fails if the key is empty, too long or not printable ASCII.
pub fn check_key(key: &[u8]) -> Result<(), KeyFault> {
    if key.is_empty() {
        return Err(KeyFault::Empty);
    }
    if key.len() > MAX_KEY_BYTES {
        return Err(KeyFault::TooLong);
    }
    if !key.iter().all(u8::is_ascii_graphic) {
        return Err(KeyFault::NotAscii);
    }
    Ok(())
}

/// Reason for which the accounts of a configuration are rejected. None of them holds a key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum AccountFault {
    /// An account has no name.
    #[snafu(display("the name of account {index} is empty"))]
    EmptyName {
        /// Index in the list of accounts, from 0.
        index: usize,
    },
    /// Two accounts have the same name.
    #[snafu(display("two accounts are named {account:?}"))]
    DuplicateName {
        /// The name.
        account: String,
    },
    /// The weight is not a finite number above 0.
    #[snafu(display("the weight of account {account:?} is not a finite number above 0"))]
    InvalidWeight {
        /// Name of the account.
        account: String,
    },
    /// A key of the account is empty.
    #[snafu(display("a key of account {account:?} is empty"))]
    EmptyKey {
        /// Name of the account.
        account: String,
    },
    /// Two accounts have the same key.
    #[snafu(display("accounts {other:?} and {account:?} have the same key"))]
    SharedKey {
        /// Name of the account.
        account: String,
        /// Name of the account before it that has the key too.
        other: String,
    },
}

impl AccountFault {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::EmptyName { .. } => "account_name_empty",
            Self::DuplicateName { .. } => "account_name_duplicate",
            Self::InvalidWeight { .. } => "account_weight_invalid",
            Self::EmptyKey { .. } => "account_key_empty",
            Self::SharedKey { .. } => "account_key_shared",
        }
    }
}

/// Checks the accounts of a configuration. The forms of the keys are checked before, where
/// they are replaced by their digests.
///
/// # Errors
///
/// Returns the first fault.
pub fn check_accounts(accounts: &[AccountConfig]) -> Result<(), AccountFault> {
    let empty = KeyDigest::of(b"");
    let mut names = HashSet::new();
    let mut owners: HashMap<KeyDigest, &str> = HashMap::new();
    for (index, account) in accounts.iter().enumerate() {
        let name = account.name.as_str();
        if name.is_empty() {
            return EmptyNameSnafu { index }.fail();
        }
        if !names.insert(name) {
            return DuplicateNameSnafu { account: name }.fail();
        }
        if !account.weight.is_finite() || account.weight <= 0.0 {
            return InvalidWeightSnafu { account: name }.fail();
        }
        for key in &account.keys {
            if *key == empty {
                return EmptyKeySnafu { account: name }.fail();
            }
            // The same key twice at one account is harmless.
            let other = *owners.entry(*key).or_insert(name);
            if other != name {
                return SharedKeySnafu {
                    account: name,
                    other,
                }
                .fail();
            }
        }
    }
    Ok(())
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
        check_key(key)?;
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
