//! The times of calls of discovery after a failure and after a start with a cached list.

use super::balancer::Balancer;
use super::time::{Timestamp, duration_from_seconds};
use crate::backoff::ExponentialBackoff;
use std::time::Duration;

/// The longest time from a change of the list until the change is in force at a balancer that can reach discovery.
pub const CHANGE_PROPAGATION_DEADLINE: Duration = Duration::from_secs(6);
/// The longest time from the start of a failed call of discovery to the start of the next. Discovery may have recovered
/// just after the failed call began, and the remaining second of [`CHANGE_PROPAGATION_DEADLINE`] is left for the next
/// call.
pub const MAX_CALL_INTERVAL: Duration =
    CHANGE_PROPAGATION_DEADLINE.saturating_sub(Duration::from_secs(1));
/// The timeout of a call of discovery without an answer, and the longest of a watch without data. It covers two
/// heartbeats of a watch, which come every 2 s, and a margin.
pub const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(4_200);

/// The longest poll interval that the backoff is derived from. Even if the poll interval is longer, a lost watch has to
/// be reopened soon. A change counts as received 6 s after the last data on the watch, and most of that time has passed
/// when the loss is noticed.
const MAX_BACKOFF_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// The mean delay after the first failed call, as a fraction of the poll interval.
const INITIAL_BACKOFF_FRACTION: f64 = 0.05;
/// The highest number of times that the mean delay doubles.
const MAX_DOUBLINGS: u32 = 4;
/// The longest delay before a lost watch is reopened while discovery is overloaded. The remaining part of
/// [`CHANGE_PROPAGATION_DEADLINE`] is left for calls that may be rejected.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(3);
/// The random fraction of the reconnect delay.
const RECONNECT_JITTER: f64 = 0.5;
/// The longest time before a cached list is checked, as a fraction of the poll interval.
const CACHED_LIST_CHECK_FRACTION: f64 = 0.25;

impl Balancer {
    /// Handles the loss of a watch that fell silent while its connection stayed open.
    pub(super) fn watch_silent(&mut self, now: Timestamp) {
        let was_current = self.discovery_schedule.stale_since.is_none();
        self.discovery_failed(now);
        self.discovery_schedule.missed_by_silence = was_current;
    }

    /// Delays the next call with backoff and jitter. All balancers lose their watches at the same time, and immediate
    /// or simultaneous calls would fail again.
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
        self.discovery_schedule.missed_by_silence = false;
    }

    /// Returns a delay whose mean doubles with each failure in a row, as far as [`MAX_CALL_INTERVAL`] allows.
    fn backoff_delay(&mut self, now: Timestamp) -> f64 {
        let poll_interval = self
            .settings
            .rules
            .poll_interval
            .min(MAX_BACKOFF_POLL_INTERVAL);
        let backoff = ExponentialBackoff {
            initial_mean_seconds: poll_interval.as_secs_f64() * INITIAL_BACKOFF_FRACTION,
            max_doublings: MAX_DOUBLINGS,
        };
        let schedule = &self.discovery_schedule;
        let since_last_failure = now.since(schedule.last_failure);
        let max_delay = MAX_CALL_INTERVAL
            .saturating_sub(since_last_failure)
            .as_secs_f64();
        backoff.delay_seconds(
            schedule.failures_in_row,
            max_delay,
            self.random.unit_interval(),
        )
    }

    /// Returns the delay before a balancer whose list was current until now calls discovery again. Meanwhile, discovery
    /// can serve balancers whose lists are stale. Their number is estimated by the time that this balancer's list took
    /// to become current the last time: the longer it took, the longer the delay. The time that has passed since the
    /// last data on the watch is subtracted.
    fn reconnect_delay(&mut self, silence: Duration) -> f64 {
        let longest = self
            .discovery_schedule
            .catch_up_time
            .min(MAX_RECONNECT_DELAY);
        let longest = longest.saturating_sub(silence);
        longest.as_secs_f64() * (1.0 - RECONNECT_JITTER * self.random.unit_interval())
    }

    /// Delays the next call after a rejection, with the same backoff. A rejected call costs an overloaded discovery as
    /// much as an answered one, and calls at short intervals would keep it from answering any.
    pub(super) fn discovery_rejected(&mut self, now: Timestamp) {
        self.discovery_reached(now);
        let delay = self.backoff_delay(now);
        self.schedule_call(now, delay);
    }

    /// Records that a call has reached discovery. Discovery may have been unreachable before the first such call, and
    /// therefore the list counts as stale for at most [`MAX_CALL_INTERVAL`] before it. After a silent watch it counts as
    /// stale from the last data on: what such a watch misses is in force in time, whether or not it arrived.
    pub(super) fn discovery_reached(&mut self, now: Timestamp) {
        let schedule = &mut self.discovery_schedule;
        let stale_since = schedule.stale_since.get_or_insert(now);
        if !std::mem::replace(&mut schedule.is_discovery_reached, true)
            && !schedule.missed_by_silence
            && now.since(*stale_since) > MAX_CALL_INTERVAL
        {
            *stale_since = now.minus(MAX_CALL_INTERVAL);
        }
    }

    /// Schedules the next call after a failed or rejected one.
    fn schedule_call(&mut self, now: Timestamp, delay: f64) {
        let schedule = &mut self.discovery_schedule;
        schedule.next_call = Some(now + duration_from_seconds(delay));
        schedule.last_failure = now;
        schedule.failures_in_row = schedule.failures_in_row.saturating_add(1);
    }

    /// Schedules a check of a cached list. The time is random to keep balancers that start together from calling
    /// together.
    pub(super) fn check_cached_list(&mut self, now: Timestamp) {
        let fraction = CACHED_LIST_CHECK_FRACTION * self.random.unit_interval();
        let delay = self.settings.rules.poll_interval.mul_f64(fraction);
        self.discovery_schedule.next_call = Some(now + delay);
        self.discovery_schedule.stale_since = Some(now);
    }
}
