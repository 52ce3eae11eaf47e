//! Counters of a simulated endpoint.

use serde::Serialize;

/// Counts since the endpoint's first start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct EndpointUsage {
    /// Accepted connections.
    pub connections: u64,
    /// Connections that are open now.
    pub connections_open: u64,
    /// Complete requests, without health checks.
    pub requests: u64,
    /// Requests with the response status 200.
    pub served: u64,
    /// Requests that were rejected without work, with 503 and `X-Not-Run: 1`.
    #[serde(rename = "turned_away")]
    pub rejected_early: u64,
    /// Requests with the response status 500 because the call to the next tier failed.
    pub failed: u64,
    /// Health checks (`/health` and `/status/load`).
    #[serde(rename = "probes")]
    pub health_checks: u64,
}
