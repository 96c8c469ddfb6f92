//! Messages with only those fields that the protocol guarantees.

use serde::Serialize;
use serde_json::Value;

/// Field that holds a value stored by a client, which is returned unchanged.
const STORED_VALUE_FIELD: &str = "V";

/// Returns `message` as JSON without the fields that are null, since a field that may be null may also be missing.
pub(crate) fn bare_json(message: &impl Serialize) -> Value {
    let mut json = serde_json::to_value(message).unwrap_or_default();
    remove_null_fields(&mut json);
    json
}

fn remove_null_fields(json: &mut Value) {
    match json {
        Value::Object(fields) => {
            fields.retain(|name, value| name == STORED_VALUE_FIELD || !value.is_null());
            let nested = fields.iter_mut().filter(|(name, _)| *name != STORED_VALUE_FIELD);
            nested.for_each(|(_, value)| remove_null_fields(value));
        }
        Value::Array(items) => items.iter_mut().for_each(remove_null_fields),
        _ => {}
    }
}
