//! The JSON Schema of the configuration, made from its types.

use super::document::ConfigurationDocument;
use super::fault::Fault;
use schemars::schema_for;
use serde_json::Value;

/// The schema.
#[must_use]
pub fn schema() -> Value {
    schema_for!(ConfigurationDocument).to_value()
}

/// All that the schema finds wrong with a document.
pub(super) fn faults(document: &Value) -> Vec<Fault> {
    let Ok(validator) = jsonschema::validator_for(&schema()) else {
        return Vec::new();
    };
    let errors = validator.iter_errors(document);
    errors
        .map(|error| Fault {
            path: dotted(error.instance_path().as_str()),
            problem: error.to_string(),
        })
        .collect()
}

/// A JSON pointer, `/a/0/b`, as a path, `a[0].b`.
fn dotted(pointer: &str) -> String {
    let mut path = String::new();
    for segment in pointer.split('/').skip(1) {
        let segment = segment.replace("~1", "/").replace("~0", "~");
        if segment.bytes().all(|b| b.is_ascii_digit()) {
            path += &format!("[{segment}]");
        } else {
            let separator = if path.is_empty() { "" } else { "." };
            path += &format!("{separator}{segment}");
        }
    }
    path
}
