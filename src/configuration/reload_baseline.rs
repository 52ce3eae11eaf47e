//! The part of a configuration file that is compared with the next file at a reload.

use super::document::ProcessLimitsDocument;
use super::missing_key::missing_key;
use serde_json::{Value, json};

/// The settings and limits of a configuration file.
#[derive(Clone, Debug, PartialEq)]
pub struct ReloadBaseline(Value);

impl ReloadBaseline {
    /// Creates the baseline of a file.
    ///
    /// It holds the settings as they are written in the file, without defaults. A key that the next file lacks
    /// therefore counts as missing even if it has a default.
    pub(super) fn new(file_content: &Value, limits: &ProcessLimitsDocument) -> Self {
        ReloadBaseline(json!({
            "settings": file_content["settings"],
            "limits": limits,
        }))
    }

    /// Returns the path of the first setting or limit that this file has and the next one lacks.
    #[must_use]
    pub fn missing_key(&self, next: &ReloadBaseline) -> Option<String> {
        missing_key(&self.0, &next.0)
    }

    /// Returns the top-level keys of the settings whose values differ in the next file.
    #[must_use]
    pub fn changed_settings(&self, next: &ReloadBaseline) -> Vec<String> {
        let (Some(own), Some(others)) = (
            self.0["settings"].as_object(),
            next.0["settings"].as_object(),
        ) else {
            return Vec::new();
        };
        let added = others.keys().filter(|key| !own.contains_key(*key));
        own.keys()
            .chain(added)
            .filter(|key| own.get(*key) != others.get(*key))
            .cloned()
            .collect()
    }
}
