//! The result of a load for each target.

use hdrhistogram::Histogram;
use std::time::Duration;

/// The longest latency that is recorded. Longer ones are recorded as this one.
const MAX_LATENCY: Duration = Duration::from_secs(60);
/// The number of significant decimal digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The results of a target's requests during the measurement.
#[derive(Clone, Debug)]
pub struct TargetResult {
    /// The latencies of served requests in nanoseconds, measured from their arrival times.
    pub latencies: Histogram<u64>,
    /// Requests that were due during the measurement. This is the sum of the four following counts.
    pub requests: u64,
    /// Requests with the response status 200.
    pub served: u64,
    /// Requests with the response status 429 or 503.
    pub rejected: u64,
    /// Requests with another status, with a response without `Content-Length`, or with a connection that failed before
    /// the response was complete.
    pub failed: u64,
    /// Requests without a complete response half a second after their deadline.
    pub unanswered: u64,
    /// Connections that were opened during warm-up and measurement.
    pub connections: u64,
    /// The longest time from a request's arrival time to its sending.
    pub max_send_delay: Duration,
}

impl TargetResult {
    pub(super) fn new() -> Self {
        TargetResult {
            latencies: empty_histogram(),
            requests: 0,
            served: 0,
            rejected: 0,
            failed: 0,
            unanswered: 0,
            connections: 0,
            max_send_delay: Duration::ZERO,
        }
    }

    pub(super) fn record_served(&mut self, latency: Duration) {
        self.served += 1;
        let nanoseconds = u64::try_from(latency.as_nanos()).unwrap_or(u64::MAX);
        self.latencies.saturating_record(nanoseconds);
    }
}

/// Creates a histogram of latencies in nanoseconds.
fn empty_histogram() -> Histogram<u64> {
    let highest = MAX_LATENCY.as_nanos() as u64;
    Histogram::new_with_bounds(1, highest, SIGNIFICANT_DIGITS).expect("the bounds are in order")
}
