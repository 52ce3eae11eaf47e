//! The plan of a load: its targets, rates and duration.

use std::net::SocketAddr;
use std::time::Duration;

/// One target of a load.
#[derive(Clone, Debug)]
pub struct LoadTarget {
    /// The address of a sidecar or an endpoint.
    pub address: SocketAddr,
    /// The mean number of requests per second. Arrivals are a Poisson process.
    pub calls_per_second: f64,
    /// The request class.
    pub class: String,
    /// True if requests are unsafe to repeat. They are then `POST` with a small body instead of `GET`.
    pub is_unsafe: bool,
    /// The time that a caller waits for the response, sent as `X-Deadline`.
    pub deadline: Duration,
}

/// A load on several targets at the same time.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// All targets; one event loop sends the requests to all of them.
    pub targets: Vec<LoadTarget>,
    /// The duration of the load before the measurement.
    pub warm_up: Duration,
    /// The duration of the measurement.
    pub duration: Duration,
    /// The seed of the arrival times.
    pub seed: u64,
}
