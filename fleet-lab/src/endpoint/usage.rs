//! Counters of a simulated endpoint.

use serde::Serialize;

/// Counts since the endpoint's first start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct EndpointUsage {
    /// Accepted connections.
    pub connections: u64,
    /// Connections open now.
    pub connections_open: u64,
    /// Complete requests.
    pub requests: u64,
    /// Requests that were answered 200.
    pub served: u64,
    /// Requests that were rejected without work.
    #[serde(rename = "turned_away")]
    pub rejected_early: u64,
    /// Requests whose call to the next tier failed, answered 500.
    pub failed: u64,
    /// Health checks (`/health` and `/status/load`).
    #[serde(rename = "probes")]
    pub health_checks: u64,
}
