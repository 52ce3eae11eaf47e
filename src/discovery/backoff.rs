//! Jittered pauses between calls of discovery, of which a whole fleet makes its own at the same time.

use crate::backoff::ExponentialBackoff;
use crate::policy::random::SeededRandom;
use crate::policy::{CHANGE_PROPAGATION_DEADLINE, DISCOVERY_TIMEOUT, MAX_CALL_INTERVAL};
use std::time::Duration;

/// Its mean is 0.3 s after the first failure in a row, and so often doubled as long as [`MAX_DELAY`] allows.
const FAILURE_BACKOFF: ExponentialBackoff = ExponentialBackoff {
    first: 0.3,
    max_doublings: 2,
};
/// The longest pause: a call that follows one that failed at once can be waited for as long as any before a change has
/// to be in force. Longer pauses put off all sidecars after an outage, and only a discovery that turns calls away gains.
const MAX_DELAY: Duration = CHANGE_PROPAGATION_DEADLINE.saturating_sub(DISCOVERY_TIMEOUT);

/// Pauses between calls of discovery: exponential backoff with jitter after failures, and the time after which a call
/// that has no answer yet gets another beside it. Each caller has a seed of its own, so that a fleet that lost
/// discovery at one moment does not come back to it at one moment.
#[derive(Debug)]
pub struct Backoff {
    random: SeededRandom,
    failures: u32,
}

impl Backoff {
    /// With no failure so far.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Backoff {
            random: SeededRandom::new(seed),
            failures: 0,
        }
    }

    /// Discovery has answered: the next failure is the first in a row.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// The pause after a call that failed after this long. Its mean doubles with each failure in a row, up to a longest
    /// pause and as far as the next call still begins within [`MAX_CALL_INTERVAL`] of the beginning of the failed one.
    pub fn delay_after(&mut self, took: Duration) -> Duration {
        let longest = MAX_DELAY.min(MAX_CALL_INTERVAL.saturating_sub(took));
        let pause = FAILURE_BACKOFF.pause(self.failures, longest.as_secs_f64(), self.random.unit());
        self.failures = self.failures.saturating_add(1);
        Duration::from_secs_f64(pause)
    }

    /// The time from the beginning of a call that is not answered to that of another beside it: from
    /// [`DISCOVERY_TIMEOUT`] to [`MAX_CALL_INTERVAL`]. It cannot grow: the calls that are out may have been lost on the
    /// network, and discovery may be reachable again.
    pub fn hedge_delay(&mut self) -> Duration {
        let spread = MAX_CALL_INTERVAL - DISCOVERY_TIMEOUT;
        DISCOVERY_TIMEOUT + spread.mul_f64(self.random.unit())
    }
}
