//! Options of a simulated discovery service.

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
    /// Number of past versions whose changes are retained; a watch from an older version gets the full list.
    pub retained_changes: usize,
}
