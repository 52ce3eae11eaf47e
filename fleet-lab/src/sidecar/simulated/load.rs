//! The load of a simulated fleet.

use std::time::Duration;

/// The calls that each simulated sidecar receives, and the service time of the endpoints.
#[derive(Clone, Copy, Debug)]
pub struct SimulatedLoad {
    /// Mean calls per second of a sidecar. The calls arrive in a Poisson process, which starts when the sidecar first
    /// becomes ready.
    pub calls_per_second: f64,
    /// Mean of the service time, which is exponentially distributed.
    pub mean_service_time: Duration,
}
