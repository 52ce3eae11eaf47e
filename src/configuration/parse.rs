//! Parses and validates the text of a configuration: at the start, on SIGHUP and in the commands.

use super::document::ConfigurationDocument;
use super::json_text::{ParsedJson, parse_json};
use super::schema::schema_errors;
use super::settings_document::document_key_path;
use super::validation::{ValidationError, ValidationErrors};
use crate::policy::{Settings, SettingsError};
use serde::Deserialize;
use serde_json::Value;
use std::fmt;

/// A valid configuration.
#[derive(Debug)]
pub struct ParsedConfiguration {
    /// The document. Fields whose keys are missing in the file have their defaults.
    pub document: ConfigurationDocument,
    /// The content of the file.
    pub file_content: Value,
    /// The settings, converted to the types of the balancer.
    pub settings: Settings,
}

/// The path of a key that the sidecar does not read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownKey(pub String);

impl fmt::Display for UnknownKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: this key is not known and is passed over", self.0)
    }
}

/// Parses and validates the text of a configuration.
///
/// # Errors
/// Returns every error in the text.
pub fn parse(text: &str) -> Result<ParsedConfiguration, ValidationErrors> {
    let json =
        parse_json(text).map_err(|error| ValidationErrors(vec![json_syntax_error(&error)]))?;
    let document = read_document(text, &json)?;
    let settings = Settings::try_from(document.settings.clone())
        .map_err(|error| ValidationErrors(vec![settings_conversion_error(error.to_string())]))?;
    let errors: Vec<ValidationError> = settings
        .validation_errors()
        .iter()
        .map(settings_validation_error)
        .collect();
    if !errors.is_empty() {
        return Err(ValidationErrors(errors));
    }
    Ok(ParsedConfiguration {
        document,
        file_content: json.value,
        settings,
    })
}

/// Returns the keys of a configuration that the sidecar does not read, in the order of the text.
#[must_use]
pub fn unknown_keys(text: &str) -> Vec<UnknownKey> {
    let mut keys = Vec::new();
    let mut record_unknown_key =
        |path: serde_ignored::Path<'_>| keys.push(UnknownKey(path.to_string()));
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let document: Result<ConfigurationDocument, _> =
        serde_ignored::deserialize(&mut deserializer, &mut record_unknown_key);
    drop(document); // errors are reported by `parse`
    keys
}

/// Converts a parsed text to the document type.
///
/// If the conversion fails or there is a duplicate key, the text is parsed again, because the parsed value has neither
/// duplicate keys nor the positions that the error message shows.
fn read_document(text: &str, json: &ParsedJson) -> Result<ConfigurationDocument, ValidationErrors> {
    match ConfigurationDocument::deserialize(&json.value) {
        Ok(document) if !json.has_duplicate_keys => Ok(document),
        _ => read_document_text(text)
            .map_err(|error| ValidationErrors(all_errors(&json.value, error))),
    }
}

fn read_document_text(text: &str) -> Result<ConfigurationDocument, ValidationError> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let path = error.path().to_string();
        ValidationError {
            path: if path == "." { String::new() } else { path },
            message: error.into_inner().to_string(),
        }
    })
}

/// Returns all errors of a document.
///
/// Deserialization ends at the first error, `reading_error`. All errors are therefore taken from a check against the
/// schema. If this check finds none, only `reading_error` is returned.
fn all_errors(value: &Value, reading_error: ValidationError) -> Vec<ValidationError> {
    let errors = schema_errors(value);
    if errors.is_empty() {
        vec![reading_error]
    } else {
        errors
    }
}

fn json_syntax_error(error: &serde_json::Error) -> ValidationError {
    ValidationError {
        path: String::new(),
        message: format!("it is no JSON: {error}"),
    }
}

fn settings_conversion_error(message: String) -> ValidationError {
    ValidationError {
        path: "settings".into(),
        message,
    }
}

fn settings_validation_error(error: &SettingsError) -> ValidationError {
    ValidationError {
        path: format!("settings.{}", document_key_path(&error.field)),
        message: error.problem.into(),
    }
}
