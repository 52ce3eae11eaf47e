//! The load on a hollow fleet.

use std::time::Duration;

/// The load that each hollow sidecar's callers bring, and how its endpoints answer.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedLoad {
    /// Mean calls a second; arrivals are a Poisson process that begins when the sidecar is first ready.
    pub calls_per_second: f64,
    /// Mean of the exponentially distributed time that an endpoint takes.
    pub mean_service_time: Duration,
}
