//! Errors of a simulated fleet.

use balancer_sidecar::configuration::settings_document::SettingsDocumentError;
use balancer_sidecar::policy::SettingsError;
use std::io;

/// The reason why a fleet could not be started.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// The settings of a sidecar are invalid.
    #[error("the settings of {sidecar} are invalid: {source}")]
    Settings {
        /// The sidecar's name.
        sidecar: String,
        /// The cause.
        source: InvalidSettings,
    },
    /// The threads that host the sidecars could not be started.
    #[error("a thread for sidecars could not be started: {0}")]
    Thread(#[from] io::Error),
}

/// The reason why settings are invalid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidSettings {
    /// The settings object is malformed.
    #[error(transparent)]
    Document(#[from] SettingsDocumentError),
    /// The balancer rejects the settings.
    #[error(transparent)]
    Rejected(#[from] SettingsError),
}
