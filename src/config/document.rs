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

/// Number of a configuration; 0 is the empty one, before any patch.
pub type ConfigVersion = u64;

/// Largest document, in bytes of JSON; the platform holds values up to 1 MB.
pub const MAX_DOCUMENT_BYTES: usize = 900_000;

/// Most faults that an error spells out.
const MAX_SHOWN_FAULTS: usize = 32;

/// A document that is not a valid configuration.
#[derive(Debug)]
#[derive(Snafu)]
pub enum DocumentError {
    /// The JSON does not have the shape of a configuration.
    #[snafu(display("not a configuration: {source}"))]
    Shape {
        /// Where and what.
        source: serde_json::Error,
    },
    /// The JSON is not an object.
    #[snafu(display("not a configuration: accepted is a JSON object"))]
    NotObject,
    /// Values or references are not accepted.
    #[snafu(display("{}", join_faults(faults)))]
    Faults {
        /// All of them.
        faults: Vec<ConfigFault>,
    },
    /// The document is too large for the platform's service.
    #[snafu(display("document of {bytes} bytes, at most {MAX_DOCUMENT_BYTES} are accepted"))]
    TooLarge {
        /// Its size.
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

/// A version of the configuration with its document and its checked form.
#[derive(Clone, PartialEq)]
pub struct VersionedConfig {
    /// Its number.
    pub version: ConfigVersion,
    /// The JSON document.
    pub document: Value,
    /// The checked form of the document.
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
    /// Checks a document and gives it a number.
    ///
    /// # Errors
    ///
    /// Fails if the document is not a valid configuration.
    pub fn new(version: ConfigVersion, document: Value) -> Result<Self, DocumentError> {
        // A list would be read as the values of a configuration in their order.
        ensure!(document.is_object(), NotObjectSnafu);
        let bytes = document.to_string().len();
        if bytes > MAX_DOCUMENT_BYTES {
            return TooLargeSnafu { bytes }.fail();
        }
        let wire: ConfigWire = serde::Deserialize::deserialize(&document).context(ShapeSnafu)?;
        let config = FleetConfig::try_from(wire);
        let config = config.map_err(|faults| DocumentError::Faults { faults })?;
        Ok(Self {
            version,
            document,
            config,
        })
    }

    /// Applies a JSON merge patch (RFC 7396) and yields the next version.
    ///
    /// # Errors
    ///
    /// Fails if the result is not a valid configuration.
    pub fn patched(&self, patch: &Value) -> Result<Self, DocumentError> {
        let mut document = self.document.clone();
        json_patch::merge(&mut document, patch);
        Self::new(self.version + 1, document)
    }

    /// Returns a digest of the document; object keys are in order, so equal
    /// documents have equal digests.
    #[must_use]
    pub fn digest(&self) -> String {
        format!("{:016x}", xxh3_64(self.document.to_string().as_bytes()))
    }
}
