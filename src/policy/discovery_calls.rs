//! When discovery is called: after a failure, and after a start with a cached list.

use super::balancer::Balancer;
use super::time::{Timestamp, duration_from_seconds};
use crate::backoff::ExponentialBackoff;
use std::time::Duration;

/// A change of the list is in force at the latest this long after discovery had it and could be reached.
pub const CHANGE_PROPAGATION_DEADLINE: Duration = Duration::from_secs(6);
/// A call of discovery begins within this of the one that failed before it: discovery may have come back just
/// after that one began, and the new call takes its part of the time that is left.
pub const MAX_CALL_INTERVAL: Duration =
    CHANGE_PROPAGATION_DEADLINE.saturating_sub(Duration::from_secs(1));
/// A call of discovery that is not answered for this long has failed, and a watch that is silent for as long
/// is lost: two of its heartbeats of 2 s, and a little.
pub const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(4_200);

/// However long an instance may go without asking, a lost watch is asked for again as if it were this: what
/// it misses counts as told 6 s after it fell silent, most of which have passed when that is noticed.
const MAX_BACKOFF_POLL_INTERVAL: Duration = Duration::from_secs(10);
/// Mean wait after the first failed call, as a part of the time that an instance may go without asking.
const FIRST_BACKOFF_FRACTION: f64 = 0.05;
const MAX_DOUBLINGS: u32 = 4;
/// A cached list is checked within this part of that time.
const CACHED_LIST_CHECK: f64 = 0.25;

impl Balancer {
    /// Puts off the next call with backoff: all instances lose their watches together; asking at once and in
    /// step would keep them lost. The mean doubles with each failure in a row, as far as the next call still
    /// begins in time after the failure before.
    pub(super) fn discovery_failed(&mut self, now: Timestamp) {
        let within = self
            .settings
            .rules
            .poll_interval
            .min(MAX_BACKOFF_POLL_INTERVAL)
            .as_secs_f64();
        let backoff = ExponentialBackoff {
            first: within * FIRST_BACKOFF_FRACTION,
            max_doublings: MAX_DOUBLINGS,
        };
        let schedule = &mut self.discovery_schedule;
        let since_last_failure = now.since(schedule.last_failure);
        let longest = MAX_CALL_INTERVAL
            .saturating_sub(since_last_failure)
            .as_secs_f64();
        let pause = backoff.pause(schedule.failures_in_row, longest, self.random.unit());
        schedule.next_call = Some(now + duration_from_seconds(pause));
        schedule.last_failure = now;
        schedule.failures_in_row = schedule.failures_in_row.saturating_add(1);
    }

    /// Has a cached list checked soon, at a time drawn at random, lest a fleet that starts together asks
    /// together.
    pub(super) fn check_cached_list(&mut self, now: Timestamp) {
        let within = self
            .settings
            .rules
            .poll_interval
            .mul_f64(CACHED_LIST_CHECK * self.random.unit());
        self.discovery_schedule.next_call = Some(now + within);
    }
}
