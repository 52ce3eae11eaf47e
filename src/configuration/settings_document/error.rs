//! Errors of reading a settings document.

/// Why a settings document cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum SettingsDocumentError {
    /// The text is not JSON, or a value is missing or has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The endpoints that drop repeats of a keyed class have to be named.
    #[error("class {class} has no keyScope")]
    MissingKeyScope {
        /// The class's name.
        class: String,
    },
}
