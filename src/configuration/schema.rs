//! The JSON Schema of the configuration, generated from its document types.

use super::document::ConfigurationDocument;
use super::validation::ValidationError;
use schemars::schema_for;
use serde_json::Value;

/// Returns the JSON Schema of the configuration.
#[must_use]
pub fn schema() -> Value {
    schema_for!(ConfigurationDocument).to_value()
}

/// Returns all errors that the schema finds in a document.
pub(super) fn schema_errors(document: &Value) -> Vec<ValidationError> {
    let Ok(validator) = jsonschema::validator_for(&schema()) else {
        return Vec::new();
    };
    let errors = validator.iter_errors(document);
    errors
        .map(|error| ValidationError {
            path: dotted_path(error.instance_path().as_str()),
            message: error.to_string(),
        })
        .collect()
}

/// Converts a JSON pointer, such as `/a/0/b`, to a path, such as `a[0].b`.
fn dotted_path(pointer: &str) -> String {
    let mut path = String::new();
    for segment in pointer.split('/').skip(1) {
        let segment = segment.replace("~1", "/").replace("~0", "~");
        if segment.bytes().all(|byte| byte.is_ascii_digit()) {
            path += &format!("[{segment}]");
        } else {
            let separator = if path.is_empty() { "" } else { "." };
            path += &format!("{separator}{segment}");
        }
    }
    path
}
