//! The failed calls of discovery, and the next call. No decision is made here.

use super::time::Timestamp;
use std::time::Duration;

/// When discovery was last called without success, and when it is called next.
#[derive(Debug, Default)]
pub(super) struct DiscoverySchedule {
    /// When the balancer opens a watch again.
    pub(super) next_call: Option<Timestamp>,
    /// When the last call failed; the next one, which the host may make by itself, begins after it.
    pub(super) last_failure: Timestamp,
    pub(super) failures_in_row: u32,
    /// When something was last received on the watch that was lost, until that failure is handled.
    pub(super) last_received_at: Option<Timestamp>,
    /// Since when the list has not been current although discovery could be reached; `None` while it is current.
    pub(super) stale_since: Option<Timestamp>,
    /// Discovery has been reached since then.
    pub(super) is_discovery_reached: bool,
    /// How long it took to be current again, the last time.
    pub(super) catch_up_time: Duration,
}

impl DiscoverySchedule {
    /// Resets the failures after a successful call.
    pub(super) fn succeeded(&mut self, now: Timestamp) {
        self.failures_in_row = 0;
        self.is_discovery_reached = false;
        if let Some(stale_since) = self.stale_since.take() {
            self.catch_up_time = now.since(stale_since);
        }
    }

    /// Returns whether the next call is due, and removes it if it is.
    pub(super) fn take_due(&mut self, now: Timestamp) -> bool {
        self.next_call.take_if(|at| *at <= now).is_some()
    }
}
