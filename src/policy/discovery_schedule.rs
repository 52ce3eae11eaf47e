//! The failed calls of discovery, and the time of the next call. No decision is made here.

use super::time::Timestamp;
use std::time::Duration;

/// The state of calls of discovery: failures, the age of the list, and the time of the next call.
#[derive(Debug, Default)]
pub(super) struct DiscoverySchedule {
    /// The time at which the balancer opens a watch again.
    pub(super) next_call: Option<Timestamp>,
    /// The time at which the last call failed or was rejected. The call after it starts later, at a time that is not
    /// known here, because the host may also call discovery on its own.
    pub(super) last_failure: Timestamp,
    /// The number of failed or rejected calls since the last list.
    pub(super) failures_in_row: u32,
    /// The time at which data was last received on the lost watch. Cleared when the failure is handled.
    pub(super) last_received_at: Option<Timestamp>,
    /// The time since which the list has been stale although discovery could be reached; `None` while it is current.
    pub(super) stale_since: Option<Timestamp>,
    /// A call has reached discovery since the list became stale, or since the last failed call.
    pub(super) is_discovery_reached: bool,
    /// The list is stale because the watch fell silent, and no call since then has failed to reach discovery. Discovery
    /// has then had each missed change, and could be reached all along.
    pub(super) missed_by_silence: bool,
    /// The time for which the list was stale before it last became current again.
    pub(super) catch_up_time: Duration,
}

impl DiscoverySchedule {
    /// Resets the failures after a list has arrived, and records how long the list was stale.
    pub(super) fn succeeded(&mut self, now: Timestamp) {
        self.failures_in_row = 0;
        self.is_discovery_reached = false;
        self.missed_by_silence = false;
        if let Some(stale_since) = self.stale_since.take() {
            self.catch_up_time = now.since(stale_since);
        }
    }

    /// Returns whether the next call is due, and removes it if it is.
    pub(super) fn take_due(&mut self, now: Timestamp) -> bool {
        self.next_call.take_if(|at| *at <= now).is_some()
    }
}
