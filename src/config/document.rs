//! Numbered versions of the configuration and the patches between them.

use std::fmt;

use serde_json::Value;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;
use xxhash_rust::xxh3::xxh3_64;

use crate::config::FleetConfig;
use crate::config::validate::ConfigFault;
use crate::config::wire::ConfigWire;

/// Version number of a configuration; version 0 is the empty configuration before
/// the first patch.
pub type ConfigVersion = u64;

/// Maximum size of a document, in bytes of JSON; the platform stores values of up
/// to 1 MB.
pub const MAX_DOCUMENT_BYTES: usize = 900_000;

/// Maximum number of faults that an error message lists.
const MAX_SHOWN_FAULTS: usize = 32;

/// A document that is not a valid configuration.
#[derive(Debug)]
#[derive(Snafu)]
pub enum DocumentError {
    /// The JSON does not match the schema of a configuration.
    #[snafu(display("not a configuration: {source}"))]
    Schema {
        /// The key and what is wrong with it.
        source: serde_json::Error,
    },
    /// The JSON is not an object.
    #[snafu(display("not a configuration: accepted is a JSON object"))]
    NotObject,
    /// Values are out of range, or references name nothing that exists.
    #[snafu(display("{}", join_faults(faults)))]
    Faults {
        /// All faults of the document.
        faults: Vec<ConfigFault>,
    },
    /// The document is too large for the platform's key-value service.
    #[snafu(display("document of {bytes} bytes, at most {MAX_DOCUMENT_BYTES} are accepted"))]
    TooLarge {
        /// Size of the document.
        bytes: usize,
    },
}

fn join_faults(faults: &[ConfigFault]) -> String {
    let shown = faults.iter().take(MAX_SHOWN_FAULTS);
    let mut shown: Vec<_> = shown.map(ToString::to_string).collect();
    if faults.len() > MAX_SHOWN_FAULTS {
        let more = faults.len() - MAX_SHOWN_FAULTS;
        shown.push(format!("and {more} more"));
    }
    shown.join("; ")
}

/// A version of the configuration, as its document and in validated form.
#[derive(Clone, PartialEq)]
pub struct VersionedConfig {
    /// Version number.
    pub version: ConfigVersion,
    /// The JSON document.
    pub document: Value,
    /// The validated form of the document.
    pub config: FleetConfig,
}

impl Default for VersionedConfig {
    fn default() -> Self {
        Self {
            version: 0,
            document: Value::Object(serde_json::Map::new()),
            config: FleetConfig::default(),
        }
    }
}

impl fmt::Debug for VersionedConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "VersionedConfig({})", self.version)
    }
}

impl VersionedConfig {
    /// Validates a document as the given version.
    ///
    /// # Errors
    ///
    /// Fails if the document is not a valid configuration.
    pub fn new(version: ConfigVersion, document: Value) -> Result<Self, DocumentError> {
        // Serde would read a JSON array as the values of the fields in their order.
        ensure!(document.is_object(), NotObjectSnafu);
        let bytes = document.to_string().len();
        if bytes > MAX_DOCUMENT_BYTES {
            return TooLargeSnafu { bytes }.fail();
        }
        let wire: ConfigWire = serde::Deserialize::deserialize(&document).context(SchemaSnafu)?;
        let config = FleetConfig::try_from(wire);
        let config = config.map_err(|faults| DocumentError::Faults { faults })?;
        Ok(Self {
            version,
            document,
            config,
        })
    }

    /// Returns the next version, with a JSON merge patch (RFC 7396) applied.
    ///
    /// # Errors
    ///
    /// Fails if the result is not a valid configuration.
    pub fn patched(&self, patch: &Value) -> Result<Self, DocumentError> {
        let mut document = self.document.clone();
        json_patch::merge(&mut document, patch);
        Self::new(self.version + 1, document)
    }

    /// Returns a digest of the document, as 16 hex digits.
    ///
    /// The keys of objects are sorted, so equal documents have equal digests.
    #[must_use]
    pub fn digest(&self) -> String {
        format!("{:016x}", xxh3_64(self.document.to_string().as_bytes()))
    }
}
