//! Counters of a simulated fleet.

use serde::Serialize;

/// Counts of a simulated fleet since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct FleetUsage {
    /// Calls that were received.
    pub calls: u64,
    /// Attempts that the balancers started.
    pub attempts: u64,
    /// Calls that were served.
    pub served: u64,
    /// Calls that were rejected or failed.
    #[serde(rename = "not_served")]
    pub unserved: u64,
    /// Health checks that the balancers started.
    #[serde(rename = "probes")]
    pub health_checks: u64,
    /// Failed calls to discovery and lost watches.
    pub discovery_failures: u64,
    /// The largest number of attempts that one endpoint received within one second.
    #[serde(rename = "most_attempts_at_an_endpoint")]
    pub max_attempts_at_an_endpoint: u64,
}

/// Counts of a simulated fleet within one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct SecondCounts {
    /// Calls that were received.
    pub calls: u64,
    /// Attempts that the balancers started.
    pub attempts: u64,
    /// Calls that were served.
    pub served: u64,
    /// Calls that were rejected or failed.
    #[serde(rename = "not_served")]
    pub unserved: u64,
}
