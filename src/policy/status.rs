//! The counts of requests and endpoints that operators see.

use super::balancer::Balancer;
use super::time::Timestamp;

/// Counts of a balancer's requests and endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BalancerStatus {
    /// Requests that are unanswered or have attempts in flight.
    pub pending: usize,
    /// Requests that are waiting to be sent.
    pub queued: usize,
    /// Attempts in flight, including timed-out attempts that may still run.
    pub in_flight: usize,
    /// Endpoints that throttle no priority level.
    pub clear: usize,
    /// Endpoints that throttle at least one priority level.
    pub gapping: usize,
    /// Endpoints that discard at least one priority level.
    pub discarding: usize,
    /// Endpoints whose overload state is known and has not expired.
    pub current_states: usize,
    /// Listed endpoints that are sent nothing: they drain, are disabled or suspended, or discard every
    /// priority level.
    pub unavailable: usize,
    /// Listed endpoints that are suspended. They also count as unavailable.
    pub suspended: usize,
}

impl Balancer {
    /// Returns the present counts.
    #[must_use]
    pub fn status(&self, now: Timestamp) -> BalancerStatus {
        let endpoints = self.endpoints.iter();
        let mut status = BalancerStatus {
            pending: self.requests.len(),
            queued: self.queued.len(),
            in_flight: self.in_flight.count() as usize,
            unavailable: endpoints
                .filter(|endpoint| endpoint.is_listed && !endpoint.is_available)
                .count(),
            suspended: self
                .endpoints
                .iter()
                .filter(|endpoint| endpoint.is_listed && endpoint.is_suspended)
                .count(),
            ..BalancerStatus::default()
        };
        let level_count = self.thresholds.level_count();
        let indices = self.endpoints.indices();
        for index in indices.filter(|index| self.endpoints[*index].is_available) {
            let levels = self.throttled_levels(now, index);
            let has_current_state = now < self.endpoints[index].state_expires_at;
            status.clear += usize::from(levels.gapping == 0);
            status.gapping += usize::from(levels.gapping > 0);
            status.discarding += usize::from(levels.discarding > 0);
            status.current_states += usize::from(has_current_state);
            status.unavailable += usize::from(levels.discarding == level_count);
        }
        status
    }
}
