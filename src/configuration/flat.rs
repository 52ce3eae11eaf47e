//! Values of a document by their paths.

use serde_json::Value;

/// The values of a document that are no objects and no lists of objects, by their paths, in the document's order.
pub(super) fn leaves(document: &Value) -> Vec<(String, Value)> {
    let mut leaves = Vec::new();
    collect("", document, &mut leaves);
    leaves
}

fn collect(path: &str, value: &Value, leaves: &mut Vec<(String, Value)>) {
    match value {
        Value::Object(object) => {
            for (key, inner) in object {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                collect(&path, inner, leaves);
            }
        }
        Value::Array(elements) if elements.iter().any(Value::is_object) => {
            for (position, inner) in elements.iter().enumerate() {
                collect(&format!("{path}[{position}]"), inner, leaves);
            }
        }
        leaf => leaves.push((path.to_owned(), leaf.clone())),
    }
}
