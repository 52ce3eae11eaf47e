//! Exponential backoff with jitter, for calls that many processes of a fleet may make at the same time.

/// The maximum factor by which jitter multiplies the mean delay. The minimum factor, 0.5, is as far below 1.
pub(crate) const MAX_JITTER_FACTOR: f64 = 1.5;

/// A backoff whose mean delay doubles with each consecutive failure.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExponentialBackoff {
    /// The mean delay after the first failure, in seconds. It is also the minimum mean delay.
    pub(crate) initial_mean_seconds: f64,
    /// The maximum number of times that the mean doubles.
    pub(crate) max_doublings: u32,
}

impl ExponentialBackoff {
    /// Returns the delay after a failure, in seconds. `earlier_failures` is the number of consecutive failures before
    /// it. `random` is a random number from 0 to 1.
    ///
    /// The delay may exceed `max_delay_seconds` only if the initial mean with maximum jitter exceeds it.
    pub(crate) fn delay_seconds(
        &self,
        earlier_failures: u32,
        max_delay_seconds: f64,
        random: f64,
    ) -> f64 {
        let doublings = earlier_failures.min(self.max_doublings);
        let doubled_mean = self.initial_mean_seconds * f64::from(1 << doublings);
        let max_mean = max_delay_seconds / MAX_JITTER_FACTOR;
        let mean = doubled_mean.min(max_mean).max(self.initial_mean_seconds);
        mean * (MAX_JITTER_FACTOR - 1.0 + random)
    }
}
