//! Finds keys that an earlier document has and a later one lacks.

use serde_json::Value;

/// The keys of the settings that a later document may lack. If another key is missing, the file counts as damaged, even
/// if the key has a default.
const OPTIONAL_KEYS: [&str; 5] = [
    "aimStretch",
    "passesDeadline",
    "warmKeys",
    "drainCloseNs",
    "orderPauseNs",
];

/// Returns the path of the first key that the earlier document has and the later one lacks.
///
/// The length of an array may change. Each element of the later array needs the keys that all elements of the earlier
/// one have.
pub(super) fn missing_key(earlier: &Value, later: &Value) -> Option<String> {
    match (earlier, later) {
        (Value::Object(earlier), Value::Object(later)) => {
            let required = earlier
                .iter()
                .filter(|(key, _)| !OPTIONAL_KEYS.contains(&key.as_str()));
            required
                .map(|(key, value)| (key, value, later.get(key)))
                .find_map(|(key, value, later_value)| match later_value {
                    None => Some(key.clone()),
                    Some(later_value) => {
                        missing_key(value, later_value).map(|rest| format!("{key}.{rest}"))
                    }
                })
        }
        (Value::Array(earlier), Value::Array(later)) => {
            let common = object_of_common_keys(earlier)?;
            later.iter().enumerate().find_map(|(position, element)| {
                missing_key(&common, element).map(|rest| format!("{position}.{rest}"))
            })
        }
        _ => None,
    }
}

/// Returns the first element, reduced to the keys that all elements have. Returns `None` if there are no elements, and
/// null if there are several elements and one of them is not an object.
fn object_of_common_keys(elements: &[Value]) -> Option<Value> {
    elements
        .iter()
        .cloned()
        .reduce(|common, element| match (common, element) {
            (Value::Object(mut common), Value::Object(element)) => {
                common.retain(|key, _| element.contains_key(key));
                Value::Object(common)
            }
            _ => Value::Null,
        })
}
