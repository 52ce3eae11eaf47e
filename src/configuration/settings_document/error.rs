//! Errors of reading a settings document.

/// The reason why a settings document cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum SettingsDocumentError {
    /// The text is not JSON, or a value is missing or has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A keyed class does not name the endpoints that drop each other's repeats.
    #[error("class {class} has no keyScope")]
    MissingKeyScope {
        /// The class's name.
        class: String,
    },
}
