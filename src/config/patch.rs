//! Patches: their size limits, and the fields that two of them both change.

use serde_json::Value;
use snafu::Snafu;
use snafu::ensure;

use crate::config::ConfigVersion;

/// Maximum size of a patch, in bytes of JSON; the platform stores values of up to
/// 1 MB.
pub const MAX_PATCH_BYTES: usize = 900_000;
/// Maximum nesting of a patch, in levels of objects and arrays.
pub const MAX_PATCH_DEPTH: usize = 16;
/// Maximum length of an operator's name, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 128;
/// Maximum length of a reason, in bytes.
pub const MAX_REASON_BYTES: usize = 2048;
/// Maximum length of the identifier of a patch, in bytes.
pub const MAX_PATCH_ID_BYTES: usize = 64;
/// Maximum number of fields that a conflict names.
pub const MAX_CONFLICT_FIELDS: usize = 32;

/// A patch as an operator submits it.
#[derive(Clone, Debug, PartialEq)]
pub struct PatchRequest {
    /// Version that it was made against.
    pub base: ConfigVersion,
    /// JSON merge patch (RFC 7396).
    pub patch: Value,
    /// Operator who submits it.
    pub author: String,
    /// Reason that the operator gives.
    pub reason: String,
    /// Random identifier; a repeated submission keeps it.
    pub patch_id: String,
}

/// A submission that breaks the limits of this module.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
#[snafu(display("{field}: {accepted}"))]
pub struct RequestError {
    field: &'static str,
    accepted: String,
}

impl PatchRequest {
    /// Checks the submission against the limits of this module.
    ///
    /// # Errors
    ///
    /// Fails for the first field that breaks a limit, with what is accepted there.
    pub fn check(&self) -> Result<(), RequestError> {
        check_text("author", &self.author, MAX_AUTHOR_BYTES)?;
        check_text("reason", &self.reason, MAX_REASON_BYTES)?;
        check_text("patch_id", &self.patch_id, MAX_PATCH_ID_BYTES)?;
        ensure!(
            self.patch.is_object(),
            RequestSnafu {
                field: "patch",
                accepted: "accepted is a JSON object",
            }
        );
        ensure!(
            is_within_depth(&self.patch, MAX_PATCH_DEPTH),
            RequestSnafu {
                field: "patch",
                accepted: format!("accepted are {MAX_PATCH_DEPTH} levels of nesting"),
            }
        );
        let bytes = self.patch.to_string().len();
        ensure!(
            bytes <= MAX_PATCH_BYTES,
            RequestSnafu {
                field: "patch",
                accepted: format!("{bytes} bytes, accepted are {MAX_PATCH_BYTES}"),
            }
        );
        Ok(())
    }
}

fn check_text(field: &'static str, text: &str, max: usize) -> Result<(), RequestError> {
    let printable = !text.chars().any(char::is_control);
    ensure!(
        printable && (1..=max).contains(&text.len()),
        RequestSnafu {
            field,
            accepted: format!("accepted are 1 to {max} bytes without control characters"),
        }
    );
    Ok(())
}

/// Tells whether a value nests objects and arrays in at most `levels` levels.
fn is_within_depth(value: &Value, levels: usize) -> bool {
    match value {
        Value::Object(map) => levels > 0 && map.values().all(|v| is_within_depth(v, levels - 1)),
        Value::Array(list) => levels > 0 && list.iter().all(|v| is_within_depth(v, levels - 1)),
        _ => true,
    }
}

/// Returns the paths of the fields that two merge patches both change, at most
/// [`MAX_CONFLICT_FIELDS`] of them.
///
/// Two patches without a common field can be applied in either order.
#[must_use]
pub fn common_fields(one: &Value, other: &Value) -> Vec<String> {
    let mut fields = Vec::new();
    collect_common(one, other, "", &mut fields);
    fields.truncate(MAX_CONFLICT_FIELDS);
    fields
}

fn collect_common(one: &Value, other: &Value, path: &str, fields: &mut Vec<String>) {
    if let (Value::Object(one), Value::Object(other)) = (one, other) {
        let nested = path.is_empty() || !one.is_empty() && !other.is_empty();
        if nested {
            for (key, value) in one {
                if let Some(other_value) = other.get(key) {
                    let path = join(path, key);
                    collect_common(value, other_value, &path, fields);
                }
            }
            return;
        }
    }
    fields.push(path.to_owned());
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}
