//! Open-loop callers: requests are sent when their time comes, however long earlier ones take, and each latency is
//! counted from the moment at which its request was due, so that waiting does not hide latency (no coordinated
//! omission).
//!
//! Callers keep their connections, and a request goes on the idle one to its target that was used last, or on a new one
//! where none is idle. A request on a kept connection that the other side closes before an answer's first byte is sent
//! once more on a new connection. Answers need a `Content-Length`: one without, a chunked one too, counts as failed.

mod connection;
mod connection_table;
mod event_loop;
mod poller;
mod request;
mod response;
mod schedule;

use event_loop::EventLoop;
use hdrhistogram::Histogram;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// The longest latency that is told apart; longer ones count as this.
const LONGEST_LATENCY: Duration = Duration::from_secs(60);
/// Significant decimal digits of latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

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
    /// Requests that were due; the sum of the four counts that follow.
    pub sent: u64,
    /// Answered 200.
    pub served: u64,
    /// Answered 429 or 503.
    pub refused: u64,
    /// Answered otherwise, or without `Content-Length`, or the connection never came up or ended before the answer did.
    pub failed: u64,
    /// Not answered within the deadline and half a second.
    pub unanswered: u64,
    /// Connections that were opened, over warm-up and measurement.
    pub connections: u64,
    /// The longest time that the event loop was late to send a request.
    pub longest_delay: Duration,
}

impl TargetResult {
    fn new() -> Self {
        TargetResult {
            latencies: empty_histogram(),
            sent: 0,
            served: 0,
            refused: 0,
            failed: 0,
            unanswered: 0,
            connections: 0,
            longest_delay: Duration::ZERO,
        }
    }

    fn record_served(&mut self, latency: Duration) {
        self.served += 1;
        let nanoseconds = u64::try_from(latency.as_nanos()).unwrap_or(u64::MAX);
        self.latencies.saturating_record(nanoseconds);
    }
}

/// A histogram for latencies in nanoseconds.
fn empty_histogram() -> Histogram<u64> {
    let highest = LONGEST_LATENCY.as_nanos() as u64;
    Histogram::new_with_bounds(1, highest, SIGNIFICANT_DIGITS).expect("the bounds are in order")
}

/// Runs a load to its end on the calling thread; one result for each target, in order. It ends when all requests that
/// were due within the measurement have ended.
///
/// # Errors
/// The event loop could not be set up, or a wait failed.
pub fn run(plan: &LoadPlan) -> io::Result<Vec<TargetResult>> {
    EventLoop::new(plan)?.run()
}
