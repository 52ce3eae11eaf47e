//! The values of a configuration that only a restart changes.

use super::document::ConfigurationDocument;
use serde_json::{Value, json};

/// The values that a reload cannot apply, because the process opened its sockets and sized its budgets by them.
///
/// The seed is not among them: it differs at each start and is used only there.
#[derive(Debug, PartialEq)]
pub struct RestartValues([(&'static str, Value); 4]);

impl RestartValues {
    pub(super) fn from_document(document: &ConfigurationDocument) -> Self {
        RestartValues([
            ("name", json!(document.name)),
            ("listen", json!(document.listen)),
            ("admin_addr", json!(document.admin_addr)),
            ("limits", json!(document.limits)),
        ])
    }

    /// Returns the keys whose values differ.
    #[must_use]
    pub fn differences(&self, other: &RestartValues) -> Vec<&'static str> {
        let pairs = self.0.iter().zip(&other.0);
        pairs
            .filter(|(own, others)| own != others)
            .map(|((key, _), _)| *key)
            .collect()
    }
}
