//! How an instance stands, for the operators.

use super::balancer::Balancer;
use super::time::Timestamp;

/// Counts of requests and of endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BalancerStatus {
    /// Requests kept, answered or not.
    pub pending: usize,
    /// Requests that wait to be sent.
    pub queued: usize,
    /// Attempts in flight, and those timed out that may run on.
    pub in_flight: usize,
    /// Endpoints at which no worth level is throttled.
    pub clear: usize,
    /// Endpoints at which some level is held to the gap, or worse.
    pub gapping: usize,
    /// Endpoints at which some level is discarded.
    pub discarding: usize,
    /// Endpoints whose state was told and has not lapsed.
    pub current_states: usize,
    /// Listed endpoints that get nothing now: they drain, are disabled, or discard every worth level.
    pub unavailable: usize,
}

impl Balancer {
    /// How the instance stands.
    #[must_use]
    pub fn status(&self, now: Timestamp) -> BalancerStatus {
        let mut status = BalancerStatus {
            pending: self.requests.len(),
            queued: self.queued.len(),
            in_flight: self.attempts_in_flight as usize,
            unavailable: self
                .endpoints
                .iter()
                .filter(|index| index.is_listed && !index.is_available)
                .count(),
            ..BalancerStatus::default()
        };
        for index in (0..self.endpoints.len()).filter(|index| self.endpoints[*index].is_available) {
            let throttled_levels = self.throttled_levels(now, index);
            status.clear += usize::from(throttled_levels.gapping == 0);
            status.gapping += usize::from(throttled_levels.gapping > 0);
            status.discarding += usize::from(throttled_levels.discarding > 0);
            status.current_states += usize::from(now < self.endpoints[index].state_expires);
            status.unavailable +=
                usize::from(throttled_levels.discarding == self.thresholds.level_count());
        }
        status
    }
}
