//! What a hollow fleet has done.

use serde::Serialize;

/// Counts of a hollow fleet since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct FleetUsage {
    /// Calls that callers made.
    pub calls: u64,
    /// Attempts that the modules started.
    pub attempts: u64,
    /// Calls that were served.
    pub served: u64,
    /// Calls that were refused or failed.
    #[serde(rename = "not_served")]
    pub unserved: u64,
    /// Probes that the modules started.
    #[serde(rename = "probes")]
    pub health_checks: u64,
    /// Calls of discovery that failed, and watches that were lost.
    pub discovery_failures: u64,
    /// The most attempts that one endpoint got within one second.
    #[serde(rename = "most_attempts_at_an_endpoint")]
    pub max_attempts_at_an_endpoint: u64,
}

/// What a hollow fleet did within one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct SecondCounts {
    /// Calls that callers made.
    pub calls: u64,
    /// Attempts that the modules started.
    pub attempts: u64,
    /// Calls that were served.
    pub served: u64,
    /// Calls that were refused or failed.
    #[serde(rename = "not_served")]
    pub unserved: u64,
}
