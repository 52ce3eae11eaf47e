//! The load of a simulated fleet.

use std::time::Duration;

/// The calls that each simulated sidecar receives, and the service time of the endpoints.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedLoad {
    /// Mean calls a second. Arrivals are a Poisson process that starts when the sidecar first becomes ready.
    pub calls_per_second: f64,
    /// Mean of the exponentially distributed service time.
    pub mean_service_time: Duration,
}
