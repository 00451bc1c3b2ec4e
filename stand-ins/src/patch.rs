//! Partial updates of options given as JSON.

use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

/// The options with the fields of a JSON object replaced.
pub(crate) fn merge<T: Serialize + DeserializeOwned>(
    options: &T,
    update: &[u8],
) -> serde_json::Result<T> {
    let mut merged = serde_json::to_value(options)?;
    let update: serde_json::Map<String, Value> = serde_json::from_slice(update)?;
    if let Value::Object(fields) = &mut merged {
        fields.extend(update);
    }
    serde_json::from_value(merged)
}
