//! The age of the endpoint list since a watch last confirmed it, and the failures of discovery.

use crate::policy::Timestamp;
use std::time::Duration;

/// States since when the endpoint list is unconfirmed, and counts watches and failures of discovery. The log and the
/// metrics report these figures.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ListStatus {
    /// The time since which no watch has confirmed that the list is current. `None` while one confirms it.
    unconfirmed_since: Option<Timestamp>,
    /// The number of watches opened since the start.
    watches_opened: u64,
    /// The number of calls that failed and watches that were lost since the start.
    failures: u64,
}

impl ListStatus {
    /// Creates the status of a list that nothing has confirmed yet.
    pub fn unconfirmed(since: Timestamp) -> Self {
        ListStatus {
            unconfirmed_since: Some(since),
            ..ListStatus::default()
        }
    }

    /// Records that a watch was opened.
    pub fn watch_opened(&mut self) {
        self.watches_opened += 1;
    }

    /// Records that the list is current. Returns the time for which it was unconfirmed, or `None` if it was not.
    pub fn confirm(&mut self, now: Timestamp) -> Option<Duration> {
        let since = self.unconfirmed_since.take()?;
        Some(now.since(since))
    }

    /// Records that a call failed or a watch was lost. `last_received_at` is the time at which something was last
    /// received on that watch. Returns the time since which the list is unconfirmed, or `None` if it already was.
    pub fn watch_ended(
        &mut self,
        now: Timestamp,
        last_received_at: Option<Timestamp>,
    ) -> Option<Timestamp> {
        self.failures += 1;
        self.set_unconfirmed(last_received_at.unwrap_or(now))
    }

    /// Records that a call for a new watch has replaced the open one, if there was one. Returns the time since which
    /// the list is unconfirmed, or `None` if it already was.
    pub fn watch_replaced(&mut self, now: Timestamp) -> Option<Timestamp> {
        self.set_unconfirmed(now)
    }

    fn set_unconfirmed(&mut self, since: Timestamp) -> Option<Timestamp> {
        if self.unconfirmed_since.is_some() {
            return None;
        }
        self.unconfirmed_since = Some(since);
        self.unconfirmed_since
    }

    /// Returns the time for which no watch has confirmed that the list is current, or zero while one confirms it.
    pub fn unconfirmed_for(&self, now: Timestamp) -> Duration {
        self.unconfirmed_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns how many watches were opened since the start.
    pub fn watches_opened(&self) -> u64 {
        self.watches_opened
    }

    /// Returns how many calls failed and watches were lost since the start.
    pub fn failures(&self) -> u64 {
        self.failures
    }
}
