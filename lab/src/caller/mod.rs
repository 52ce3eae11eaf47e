//! Open-loop callers: requests are sent when their time comes, however long earlier ones take, and each latency is
//! counted from the moment at which its request was due, so that waiting does not hide latency (no coordinated
//! omission).

use hdrhistogram::Histogram;
use std::io;
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

/// What a target's requests came to during the measurement.
#[derive(Clone, Debug)]
pub struct TargetResult {
    /// Latencies of served requests, in nanoseconds, from the moment at which they were due.
    pub latencies: Histogram<u64>,
    /// Requests that were due.
    pub sent: u64,
    /// Answered 200.
    pub served: u64,
    /// Answered 429 or 503.
    pub refused: u64,
    /// Answered otherwise.
    pub failed: u64,
    /// Not answered within the deadline and half a second.
    pub unanswered: u64,
    /// Connections that were opened, over warm-up and measurement.
    pub connections: u64,
    /// The longest time that the event loop was late to send a request.
    pub longest_delay: Duration,
}

/// Runs a load to its end on the calling thread; one result for each target, in order.
///
/// # Errors
/// The event loop could not be set up.
pub fn run(_plan: &LoadPlan) -> io::Result<Vec<TargetResult>> {
    todo!()
}
