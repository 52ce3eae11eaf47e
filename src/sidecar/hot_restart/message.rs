//! The messages that the processes of one sidecar exchange.

use serde::{Deserialize, Serialize};

/// A message to another process of this sidecar, serialized as one line of JSON.
///
/// The other process may be of another release: the serialized names must not change.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ProcessMessage {
    /// The sender has this many connections open.
    #[serde(rename = "holds")]
    OpenConnections(usize),
    /// The sender, a new process, accepts callers from now on.
    Serving,
    /// The sender is shutting down, and will soon accept no more callers.
    #[serde(rename = "stopping")]
    ShuttingDown,
    /// The operators have disabled an endpoint, or enabled it.
    #[serde(rename = "disabled")]
    AdminState {
        /// The endpoint's id.
        endpoint: String,
        /// Whether it is disabled now; else it is enabled.
        disabled: bool,
    },
}
