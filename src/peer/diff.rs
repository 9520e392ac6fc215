//! Differences between two documents, as JSON merge patches (RFC 7396).

use serde_json::Map;
use serde_json::Value;

/// Returns the merge patch that turns `from` into `to`.
///
/// A merge patch cannot set a value to null. So the receiver must compare the
/// digest of the result, and needs the full document if the digests differ.
#[must_use]
pub fn merge_diff(from: &Value, to: &Value) -> Value {
    let (Value::Object(from), Value::Object(to)) = (from, to) else {
        return to.clone();
    };
    let mut patch = Map::new();
    for key in from.keys().filter(|key| !to.contains_key(*key)) {
        patch.insert(key.clone(), Value::Null);
    }
    for (key, value) in to {
        match from.get(key) {
            Some(old) if old == value => {}
            Some(old) if old.is_object() && value.is_object() => {
                patch.insert(key.clone(), merge_diff(old, value));
            }
            _ => {
                patch.insert(key.clone(), value.clone());
            }
        }
    }
    Value::Object(patch)
}
