//! When discovery is called: after a failure, and after a start with a cached list.

use super::balancer::Balancer;
use super::time::{Timestamp, duration_from_seconds};
use crate::backoff::ExponentialBackoff;
use std::time::Duration;

/// The longest time from a change of the list at a reachable discovery until the change is in force.
pub const CHANGE_PROPAGATION_DEADLINE: Duration = Duration::from_secs(6);
/// The longest time from the start of a failed call of discovery to the start of the next. Discovery may have recovered
/// just after the failed call began, and the next call needs a part of the time that remains.
pub const MAX_CALL_INTERVAL: Duration =
    CHANGE_PROPAGATION_DEADLINE.saturating_sub(Duration::from_secs(1));
/// A call of discovery fails after this time without an answer, and a watch is lost after this time without data: two
/// of its heartbeats, which come every 2 s, and a margin.
pub const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(4_200);

/// The longest poll interval that the backoff is derived from. A lost watch is opened again soon however long the poll
/// interval is: a change counts as received 6 s after the watch fell silent, most of which have passed when that is
/// noticed.
const MAX_BACKOFF_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// The mean delay after the first failed call, as a fraction of the poll interval.
const INITIAL_BACKOFF_FRACTION: f64 = 0.05;
const MAX_DOUBLINGS: u32 = 4;
/// The longest additional delay before a lost watch is reopened at a crowded discovery. Most of
/// [`CHANGE_PROPAGATION_DEADLINE`] is left then for calls that may be rejected.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(3);
/// The fraction of that delay that is random.
const RECONNECT_JITTER: f64 = 0.5;
/// A cached list is checked within this fraction of the poll interval.
const CACHED_LIST_CHECK_FRACTION: f64 = 0.25;

impl Balancer {
    /// Delays the next call with backoff: all balancers lose their watches at the same time, and calls at once and in
    /// step would fail again.
    pub(super) fn discovery_failed(&mut self, now: Timestamp) {
        let backoff_delay = self.backoff_delay(now);
        let was_current = self.discovery_schedule.stale_since.is_none();
        let last_received_at = self.discovery_schedule.last_received_at.take();
        let stale_since = last_received_at.filter(|_| was_current).unwrap_or(now);
        let delay = if was_current {
            backoff_delay.max(self.reconnect_delay(now.since(stale_since)))
        } else {
            backoff_delay
        };
        self.schedule_call(now, delay);
        self.discovery_schedule.stale_since = Some(stale_since);
        self.discovery_schedule.is_discovery_reached = false;
    }

    /// Returns a delay whose mean doubles with each failure in a row, as far as [`MAX_CALL_INTERVAL`] allows.
    fn backoff_delay(&mut self, now: Timestamp) -> f64 {
        let poll_interval = self
            .settings
            .rules
            .poll_interval
            .min(MAX_BACKOFF_POLL_INTERVAL);
        let backoff = ExponentialBackoff {
            initial_mean: poll_interval.as_secs_f64() * INITIAL_BACKOFF_FRACTION,
            max_doublings: MAX_DOUBLINGS,
        };
        let schedule = &self.discovery_schedule;
        let since_last_failure = now.since(schedule.last_failure);
        let max_delay = MAX_CALL_INTERVAL
            .saturating_sub(since_last_failure)
            .as_secs_f64();
        backoff.delay(
            schedule.failures_in_row,
            max_delay,
            self.random.unit_interval(),
        )
    }

    /// Returns how long a balancer that was current until now leaves discovery to those that are not: the longer it took
    /// to become current the last time, the more of them there are. A watch that was silent before it was lost has used up
    /// some of that time.
    fn reconnect_delay(&mut self, silence: Duration) -> f64 {
        let longest = self
            .discovery_schedule
            .catch_up_time
            .min(MAX_RECONNECT_DELAY);
        let longest = longest.saturating_sub(silence);
        longest.as_secs_f64() * (1.0 - RECONNECT_JITTER * self.random.unit_interval())
    }

    /// Delays the next call after a rejection, with the same backoff: a rejected call costs a crowded discovery as much as
    /// an answered one, so that calls at short intervals keep it from serving any.
    pub(super) fn discovery_rejected(&mut self, now: Timestamp) {
        self.discovery_reached(now);
        let delay = self.backoff_delay(now);
        self.schedule_call(now, delay);
    }

    /// Records that discovery has been reached. Before the first call that reached it, it may not have been reachable.
    pub(super) fn discovery_reached(&mut self, now: Timestamp) {
        let schedule = &mut self.discovery_schedule;
        let stale_since = schedule.stale_since.get_or_insert(now);
        if !std::mem::replace(&mut schedule.is_discovery_reached, true)
            && now.since(*stale_since) > MAX_CALL_INTERVAL
        {
            *stale_since = now.minus(MAX_CALL_INTERVAL);
        }
    }

    fn schedule_call(&mut self, now: Timestamp, delay: f64) {
        let schedule = &mut self.discovery_schedule;
        schedule.next_call = Some(now + duration_from_seconds(delay));
        schedule.last_failure = now;
        schedule.failures_in_row = schedule.failures_in_row.saturating_add(1);
    }

    /// Schedules a check of a cached list at a random time, so that balancers that start together do not call together.
    pub(super) fn check_cached_list(&mut self, now: Timestamp) {
        let fraction = CACHED_LIST_CHECK_FRACTION * self.random.unit_interval();
        let delay = self.settings.rules.poll_interval.mul_f64(fraction);
        self.discovery_schedule.next_call = Some(now + delay);
        self.discovery_schedule.stale_since = Some(now);
    }
}
