//! The plan of a load.

use std::net::SocketAddr;
use std::time::Duration;

/// One target of a load.
#[derive(Clone, Debug)]
pub struct LoadTarget {
    /// The address of a sidecar or an endpoint.
    pub address: SocketAddr,
    /// Mean requests a second; arrivals are a Poisson process.
    pub calls_per_second: f64,
    /// The request class.
    pub class: String,
    /// Whether requests are unsafe to repeat: `POST` with a small body instead of `GET`.
    pub is_unsafe: bool,
    /// How long a caller waits.
    pub deadline: Duration,
}

/// A load on several targets at the same time.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// All targets, which one event loop drives.
    pub targets: Vec<LoadTarget>,
    /// How long the load runs before the measurement.
    pub warm_up: Duration,
    /// The duration of the measurement.
    pub duration: Duration,
    /// Seed of the arrival times.
    pub seed: u64,
}
