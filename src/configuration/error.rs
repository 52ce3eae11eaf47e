//! Errors of loading a configuration.

use super::validation::ValidationErrors;
use super::variables::{ADMIN_ADDRESS_VARIABLE, CONFIGURATION_FILE_VARIABLE};
use std::ffi::OsString;
use std::io;
use std::path::PathBuf;

/// The reason why a configuration cannot be loaded. The message fits on one line.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// `ROUTER_CONFIG`, which names the file, is not set.
    #[error("{CONFIGURATION_FILE_VARIABLE} is not set")]
    NoFile,
    /// The file cannot be read.
    #[error("{path}: {source}", path = path.display())]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The reason why it cannot be read.
        source: io::Error,
    },
    /// The content of the file is invalid.
    #[error("{path}: {source}", path = path.display())]
    Invalid {
        /// The path of the file.
        path: PathBuf,
        /// The errors in the content.
        source: ValidationErrors,
    },
    /// The value of `ROUTER_ADMIN_ADDR` is not an IP address and port.
    #[error("{ADMIN_ADDRESS_VARIABLE} is not an IP address and port: {text}", text = .0.display())]
    AdminAddress(OsString),
}
