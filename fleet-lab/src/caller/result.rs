//! What a load came to.

use hdrhistogram::Histogram;
use std::time::Duration;

/// The longest latency that is told apart; longer ones count as this.
const MAX_LATENCY: Duration = Duration::from_secs(60);
/// Significant decimal digits of latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

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
    pub rejected: u64,
    /// Answered otherwise, or without `Content-Length`, or the connection never came up or ended before the answer did.
    pub failed: u64,
    /// Not answered within the deadline and half a second.
    pub unanswered: u64,
    /// Connections that were opened, over warm-up and measurement.
    pub connections: u64,
    /// The longest time that the event loop was late to send a request.
    pub max_send_delay: Duration,
}

impl TargetResult {
    pub(super) fn new() -> Self {
        TargetResult {
            latencies: empty_histogram(),
            sent: 0,
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

/// A histogram for latencies in nanoseconds.
fn empty_histogram() -> Histogram<u64> {
    let highest = MAX_LATENCY.as_nanos() as u64;
    Histogram::new_with_bounds(1, highest, SIGNIFICANT_DIGITS).expect("the bounds are in order")
}
