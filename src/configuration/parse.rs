//! Reading a configuration's text, at the start, at SIGHUP and in `check` alike.

use super::document::ConfigurationDocument;
use super::document_path::document_path;
use super::fault::{Fault, Faults};
use super::schema;
use crate::policy::Settings;
use serde_json::Value;
use std::fmt;

/// A configuration that can be used.
pub struct Parsed {
    /// As its types have it, defaults filled in.
    pub document: ConfigurationDocument,
    /// As the file has it.
    pub value: Value,
    /// The settings in the decision module's form.
    pub settings: Settings,
}

/// A key that no part of the program reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownKey(pub String);

impl fmt::Display for UnknownKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: this key is not known and is passed over", self.0)
    }
}

/// Reads a configuration.
///
/// # Errors
/// All that is wrong with it.
pub fn parse(text: &str) -> Result<Parsed, Faults> {
    let value: Value = serde_json::from_str(text).map_err(|error| Faults(vec![no_json(&error)]))?;
    let document = read(text).map_err(|fault| Faults(all_faults(&value, fault)))?;
    let settings = document.settings.clone().settings();
    let settings = settings.map_err(|error| Faults(vec![settings_fault(error.to_string())]))?;
    let faults: Vec<Fault> = settings
        .validation_errors()
        .into_iter()
        .map(|error| {
            let path = format!("settings.{}", document_path(&error.field));
            Fault {
                path,
                problem: error.problem.into(),
            }
        })
        .collect();
    if faults.is_empty() {
        Ok(Parsed {
            document,
            value,
            settings,
        })
    } else {
        Err(Faults(faults))
    }
}

/// The keys of a configuration that no part of the program reads.
#[must_use]
pub fn unknown_keys(text: &str) -> Vec<UnknownKey> {
    let mut keys = Vec::new();
    let mut note = |path: serde_ignored::Path<'_>| keys.push(UnknownKey(path.to_string()));
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let read: Result<ConfigurationDocument, _> =
        serde_ignored::deserialize(&mut deserializer, &mut note);
    drop(read); // what is wrong with it is told elsewhere
    keys
}

fn read(text: &str) -> Result<ConfigurationDocument, Fault> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let path = error.path().to_string();
        Fault {
            path: if path == "." { String::new() } else { path },
            problem: error.into_inner().to_string(),
        }
    })
}

/// Reading ends at the first fault; the schema finds all, but for what only reading tells.
fn all_faults(value: &Value, first: Fault) -> Vec<Fault> {
    let faults = schema::faults(value);
    if faults.is_empty() {
        vec![first]
    } else {
        faults
    }
}

fn no_json(error: &serde_json::Error) -> Fault {
    Fault {
        path: String::new(),
        problem: format!("it is no JSON: {error}"),
    }
}

fn settings_fault(problem: String) -> Fault {
    Fault {
        path: "settings".into(),
        problem,
    }
}
