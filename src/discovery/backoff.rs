//! The delays between calls of discovery. They have jitter because all sidecars of a fleet may call at the same time.

use crate::backoff::ExponentialBackoff;
use crate::policy::random::SeededRandom;
use crate::policy::{CHANGE_PROPAGATION_DEADLINE, DISCOVERY_TIMEOUT, MAX_CALL_INTERVAL};
use std::time::Duration;

/// The backoff after failures. The mean delay is 0.3 s after the first consecutive failure and doubles at most twice.
/// With jitter the delay is at most [`MAX_DELAY`].
const FAILURE_BACKOFF: ExponentialBackoff = ExponentialBackoff {
    initial_mean_seconds: 0.3,
    max_doublings: 2,
};
/// The maximum delay after an immediate failure. It leaves the next call the full [`DISCOVERY_TIMEOUT`] for its
/// response before the [`CHANGE_PROPAGATION_DEADLINE`] of a change.
///
/// Longer delays would reduce the load only on a discovery service that rejects calls, and would slow down the recovery
/// of all sidecars after an outage.
const MAX_DELAY: Duration = CHANGE_PROPAGATION_DEADLINE.saturating_sub(DISCOVERY_TIMEOUT);
/// The shortest time without data after which a watch fails. It covers a heartbeat of the watch, which comes every 2 s,
/// and half an interval as a margin.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Computes the delays between calls of discovery: an exponential backoff after a failure, and a hedge delay while a
/// call has no response.
///
/// Each sidecar uses a seed of its own. Sidecars that lose discovery at the same time therefore call it again at
/// different times.
#[derive(Debug)]
pub struct Backoff {
    random: SeededRandom,
    consecutive_failures: u32,
}

impl Backoff {
    /// Creates a backoff without failures.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Backoff {
            random: SeededRandom::new(seed),
            consecutive_failures: 0,
        }
    }

    /// Records a response of discovery. The next failure counts as the first consecutive one.
    pub fn reset(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records the failure of a call that took `call_duration`, and returns the delay before the next call.
    ///
    /// The mean delay doubles with each consecutive failure up to a maximum. The next call is to begin at most
    /// [`MAX_CALL_INTERVAL`] after the start of the failed one. The mean delay is shortened for that, but not below the
    /// initial mean.
    pub fn delay_after(&mut self, call_duration: Duration) -> Duration {
        let max_delay = MAX_DELAY.min(MAX_CALL_INTERVAL.saturating_sub(call_duration));
        let delay = FAILURE_BACKOFF.delay_seconds(
            self.consecutive_failures,
            max_delay.as_secs_f64(),
            self.random.unit_interval(),
        );
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        Duration::from_secs_f64(delay)
    }

    /// Returns the time without data after which a watch fails, up to [`DISCOVERY_TIMEOUT`].
    ///
    /// A change of the list aligns the heartbeats of all watches. Where they fall silent together, sidecars with the same
    /// timeout would call discovery together, and a crowded one would reject most of them.
    pub fn silence_timeout(&mut self) -> Duration {
        let jitter = DISCOVERY_TIMEOUT - MIN_SILENCE_TIMEOUT;
        MIN_SILENCE_TIMEOUT + jitter.mul_f64(self.random.unit_interval())
    }

    /// Returns the time after which a call without a response is hedged by another one, from [`DISCOVERY_TIMEOUT`] to
    /// [`MAX_CALL_INTERVAL`].
    ///
    /// It does not grow with the number of calls: outstanding calls may have been lost in the network while discovery
    /// is reachable again.
    pub fn hedge_delay(&mut self) -> Duration {
        let jitter = MAX_CALL_INTERVAL - DISCOVERY_TIMEOUT;
        DISCOVERY_TIMEOUT + jitter.mul_f64(self.random.unit_interval())
    }
}
