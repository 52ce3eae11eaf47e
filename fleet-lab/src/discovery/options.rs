//! Options of a simulated discovery service.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Capacity and timing of a simulated discovery service.
#[derive(Clone, Debug)]
pub struct DiscoveryOptions {
    /// Calls (full lists and new watches) that the service handles a second, in order of arrival.
    pub calls_per_second: f64,
    /// How long a call may be queued; then it is answered 503.
    pub queue_timeout: Duration,
    /// Time between the empty lines on a watch without changes.
    pub heartbeat: Duration,
    /// List entries that the service writes a second, beside its time for each call; `None` where entries cost no time.
    pub entries_per_second: Option<f64>,
    /// What becomes of an open watch when the list changes.
    pub on_change: WatchOnChange,
    /// Number of past versions whose changes are retained; a watch from an older version gets the full list.
    pub retained_changes: usize,
}

/// What becomes of an open watch when the list changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WatchOnChange {
    /// The changes are sent on it.
    #[default]
    Sends,
    /// It ends, and a call for a new one is answered with the full list.
    Ends,
}
