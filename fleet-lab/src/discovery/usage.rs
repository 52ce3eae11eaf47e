//! Counters of a simulated discovery service.

use serde::Serialize;
use std::time::Duration;

/// Counts since the service started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct DiscoveryUsage {
    /// Accepted connections.
    pub connections: u64,
    /// Full lists that were sent as the body of a response, without those sent on watches.
    pub lists: u64,
    /// Watches that were opened.
    pub watches_opened: u64,
    /// Watches that are open now, without those of partitioned zones.
    pub watches_open: u64,
    /// Calls that got status 503 after the queue timeout.
    pub rejected: u64,
    /// Calls whose client disconnected while they were queued. A queued call uses its slot all the same.
    #[serde(rename = "abandoned")]
    pub disconnected: u64,
    /// The longest queue since the start or the last outage, in calls.
    #[serde(rename = "longest_queue")]
    pub max_queue_length: u64,
    /// Bytes of all responses and watches, including heads and chunk framing.
    pub bytes_written: u64,
    /// The part of `bytes_written` that heartbeats (empty lines) account for, including chunk framing.
    pub heartbeat_bytes: u64,
    /// Processor time of the service's thread.
    pub processor_time: Duration,
}
