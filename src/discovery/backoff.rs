//! Jittered pauses between calls of discovery, of which a whole fleet makes its own at the same time.

use crate::api::{CHANGE_DEADLINE, DISCOVERY_TIMEOUT, NEXT_CALL_WITHIN};
use crate::state::Dice;
use std::time::Duration;

/// The mean pause after the first failure in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// The longest pause: a call that follows one that failed at once can be waited for as long as any before a change has
/// to be in force. Longer pauses put off all sidecars after an outage, and only a discovery that turns calls away gains.
const LONGEST_PAUSE: Duration = CHANGE_DEADLINE.saturating_sub(DISCOVERY_TIMEOUT);
/// So often doubled, the mean is as long as the longest pause allows.
const MOST_DOUBLINGS: u32 = 2;
/// A pause is at most this many times its mean, and at least as much less than it.
const LONGEST_JITTER: f64 = 1.5;

/// Pauses between calls of discovery: exponential backoff with jitter after failures, and the time after which a call
/// that has no answer yet gets another beside it. Each caller has a seed of its own, so that a fleet that lost
/// discovery at one moment does not come back to it at one moment.
#[derive(Debug)]
pub struct Backoff {
    dice: Dice,
    failures: u32,
}

impl Backoff {
    /// With no failure so far.
    pub fn new(seed: u64) -> Self {
        Backoff { dice: Dice::new(seed), failures: 0 }
    }

    /// Discovery has answered: the next failure is the first in a row.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// The pause after a call that failed after this long. Its mean doubles with each failure in a row, up to a longest
    /// pause and as far as the next call still begins within [`NEXT_CALL_WITHIN`] of the beginning of the failed one.
    pub fn pause_after(&mut self, took: Duration) -> Duration {
        let doubled = FIRST_PAUSE * (1 << self.failures.min(MOST_DOUBLINGS));
        let longest = LONGEST_PAUSE.min(NEXT_CALL_WITHIN.saturating_sub(took));
        let mean = doubled.min(longest.div_f64(LONGEST_JITTER)).max(FIRST_PAUSE);
        self.failures = self.failures.saturating_add(1);
        mean.mul_f64(LONGEST_JITTER - 1.0 + self.dice.unit())
    }

    /// The time from the beginning of a call that is not answered to that of another beside it: from
    /// [`DISCOVERY_TIMEOUT`] to [`NEXT_CALL_WITHIN`]. It cannot grow: the calls that are out may have been lost on the
    /// network, and discovery may be reachable again.
    pub fn time_to_next_call(&mut self) -> Duration {
        let spread = NEXT_CALL_WITHIN - DISCOVERY_TIMEOUT;
        DISCOVERY_TIMEOUT + spread.mul_f64(self.dice.unit())
    }
}
