//! Delays between calls of discovery, with jitter because a whole fleet makes them at the same time.

use crate::backoff::ExponentialBackoff;
use crate::policy::random::SeededRandom;
use crate::policy::{CHANGE_PROPAGATION_DEADLINE, DISCOVERY_TIMEOUT, MAX_CALL_INTERVAL};
use std::time::Duration;

/// The mean delay is 0.3 s after the first failure in a row and doubles twice at most, within [`MAX_DELAY`].
const FAILURE_BACKOFF: ExponentialBackoff = ExponentialBackoff {
    initial_mean: 0.3,
    max_doublings: 2,
};
/// The maximum delay: a call that follows an immediate failure can still wait the full [`DISCOVERY_TIMEOUT`] for its
/// response before a change has to be in force. Longer delays would only help a discovery that rejects calls, and slow
/// down the recovery of all sidecars after an outage.
const MAX_DELAY: Duration = CHANGE_PROPAGATION_DEADLINE.saturating_sub(DISCOVERY_TIMEOUT);

/// When the next call of discovery is made: with exponential backoff after a failure, and after a hedging delay while a
/// call has no response.
///
/// Each caller uses a seed of its own, so that the sidecars of a fleet that lost discovery at the same moment do not call
/// it again at the same moment.
#[derive(Debug)]
pub struct Backoff {
    random: SeededRandom,
    consecutive_failures: u32,
}

impl Backoff {
    /// Creates a backoff that has seen no failure.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Backoff {
            random: SeededRandom::new(seed),
            consecutive_failures: 0,
        }
    }

    /// Records a response of discovery: the next failure counts as the first in a row.
    pub fn reset(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records the failure of a call that took `call_duration`, and returns the delay before the next call.
    ///
    /// The mean delay doubles with each failure in a row, up to a maximum and as long as the next call still begins within
    /// [`MAX_CALL_INTERVAL`] of the start of the failed one.
    pub fn delay_after(&mut self, call_duration: Duration) -> Duration {
        let max_delay = MAX_DELAY.min(MAX_CALL_INTERVAL.saturating_sub(call_duration));
        let delay = FAILURE_BACKOFF.delay(
            self.consecutive_failures,
            max_delay.as_secs_f64(),
            self.random.unit_interval(),
        );
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        Duration::from_secs_f64(delay)
    }

    /// Returns the time after which a call without a response is hedged by another one, from [`DISCOVERY_TIMEOUT`] to
    /// [`MAX_CALL_INTERVAL`]. It does not grow with the number of calls: the outstanding ones may have been lost in the
    /// network while discovery is reachable again.
    pub fn hedge_delay(&mut self) -> Duration {
        let jitter = MAX_CALL_INTERVAL - DISCOVERY_TIMEOUT;
        DISCOVERY_TIMEOUT + jitter.mul_f64(self.random.unit_interval())
    }
}
