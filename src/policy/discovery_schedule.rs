//! The calls of discovery that failed, and the next one. No decision is made here.

use super::time::Timestamp;

/// The calls of discovery that failed, and the next one.
#[derive(Default)]
pub(super) struct DiscoverySchedule {
    /// When the module asks for a watch.
    pub(super) next_call: Option<Timestamp>,
    /// When the last call failed; the next one, which the host may make by itself, begins after it.
    pub(super) last_failure: Timestamp,
    pub(super) failures_in_row: u32,
}

impl DiscoverySchedule {
    pub(super) fn succeeded(&mut self) {
        self.failures_in_row = 0;
    }

    /// Whether the next call is due, which it then no longer is.
    pub(super) fn take_due(&mut self, now: Timestamp) -> bool {
        self.next_call.take_if(|at| *at <= now).is_some()
    }
}
