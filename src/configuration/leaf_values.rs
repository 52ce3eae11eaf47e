//! The values of a JSON document, each with its path.

use serde_json::Value;

/// Returns the leaf values of a document, each with its path, such as `settings.categories[0].worth`.
///
/// A leaf is a value that is neither an object nor an array with objects as elements.
pub(super) fn leaf_values(document: &Value) -> Vec<(String, Value)> {
    let mut leaves = Vec::new();
    collect_leaves("", document, &mut leaves);
    leaves
}

fn collect_leaves(path: &str, value: &Value, leaves: &mut Vec<(String, Value)>) {
    match value {
        Value::Object(object) => {
            for (key, inner) in object {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                collect_leaves(&path, inner, leaves);
            }
        }
        Value::Array(elements) if elements.iter().any(Value::is_object) => {
            for (position, inner) in elements.iter().enumerate() {
                collect_leaves(&format!("{path}[{position}]"), inner, leaves);
            }
        }
        leaf => leaves.push((path.to_owned(), leaf.clone())),
    }
}
