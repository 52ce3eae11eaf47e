//! What the processes of one sidecar say to each other.

use serde::{Deserialize, Serialize};

/// A message, one line of JSON.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ProcessMessage {
    /// So many connections are held.
    Holds(usize),
    /// The newer process accepts callers from now on.
    Serving,
    /// This one stops, and accepts nobody before long.
    Stopping,
    /// The operators have disabled an endpoint, or enabled it.
    Disabled {
        /// Which.
        endpoint: String,
        /// Disabled, or enabled.
        disabled: bool,
    },
}
