//! What load is made.

use std::net::SocketAddr;
use std::time::Duration;

/// Where a part of the load goes.
#[derive(Clone, Debug)]
pub struct LoadTarget {
    /// A sidecar's or an endpoint's address.
    pub address: SocketAddr,
    /// Mean requests a second; arrivals are a Poisson process.
    pub calls_per_second: f64,
    /// The class that requests name.
    pub class: String,
    /// Whether the class is unsafe to repeat: `POST` with a small body instead of `GET`.
    pub is_unsafe: bool,
    /// How long a caller waits.
    pub deadline: Duration,
}

/// A load on several targets at once.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// All targets, driven by one event loop.
    pub targets: Vec<LoadTarget>,
    /// Before the measurement, with the same load.
    pub warm_up: Duration,
    /// How long the measurement lasts.
    pub duration: Duration,
    /// Seed of the arrival times.
    pub seed: u64,
}
