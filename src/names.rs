//! Types for the names of managed objects, such as VMs, pools and data centres.
//!
//! A name has 1 to 63 characters: ASCII letters, digits, `-`, `_` and `.`. It can
//! therefore be used without quoting in a key of the platform's key-value service,
//! in an HTTP header and in a log line.

use std::borrow::Borrow;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use snafu::Snafu;

/// Max length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// A text that is not a valid name by the rules of this module.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("{name:?} is not a name: 1 to {MAX_NAME_BYTES} of A-Z a-z 0-9 - _ ."))]
pub struct NameError {
    name: String,
}

/// Tells whether a text is a valid name by the rules of this module.
#[must_use]
pub fn is_valid(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
        && name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from a text.
            ///
            /// # Errors
            ///
            /// Fails if `name` is not valid by the rules of this module.
            pub fn new(name: &str) -> Result<Self, NameError> {
                if !is_valid(name) {
                    return NameSnafu { name }.fail();
                }
                Ok(Self(name.into()))
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(name: &str) -> Result<Self, NameError> {
                Self::new(name)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name_type!(
    /// Name of a VM.
    VmName
);
name_type!(
    /// Name of a pool of VMs.
    PoolName
);
name_type!(
    /// Name of a data centre.
    DcName
);
name_type!(
    /// Name of a rack, unique within its data centre.
    RackName
);
name_type!(
    /// Name of an entry VM.
    EntryName
);
name_type!(
    /// Name of a team with quotas.
    TeamName
);
name_type!(
    /// Identifier of an operation at the platform. Requesting the operation again with
    /// the same identifier has no further effect.
    OperationId
);
