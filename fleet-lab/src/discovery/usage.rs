//! What a discovery service has done.

use serde::Serialize;
use std::time::Duration;

/// Counts since the service started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct DiscoveryUsage {
    /// Connections that were accepted.
    pub connections: u64,
    /// Whole lists that were answered.
    pub lists: u64,
    /// Watches that were opened.
    pub watches_opened: u64,
    /// Watches open now, without those of zones that are cut off.
    pub watches_open: u64,
    /// Calls that were answered 503.
    pub rejected: u64,
    /// Calls whose caller had left before its turn came; the turn was spent all the same.
    pub abandoned: u64,
    /// The most calls that waited at once, since the start or the last outage.
    pub longest_queue: u64,
    /// Bytes of answers and watches, with their heads and chunk framing.
    pub bytes_written: u64,
    /// Bytes of empty lines among them, with their chunk framing.
    pub heartbeat_bytes: u64,
    /// Processor time of the service's thread.
    pub processor_time: Duration,
}
