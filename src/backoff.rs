//! Exponential backoff with jitter, for calls that all processes of a fleet may have to repeat at the same time.

/// The highest factor that jitter applies to the mean delay; the lowest is as much below 1.
pub(crate) const MAX_JITTER_FACTOR: f64 = 1.5;

/// Delays whose mean doubles with each failure in a row.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExponentialBackoff {
    /// The mean delay after the first failure, in seconds; also the lowest mean.
    pub(crate) initial_mean: f64,
    /// How often the mean doubles at most.
    pub(crate) max_doublings: u32,
}

impl ExponentialBackoff {
    /// Returns the delay in seconds after a number of earlier failures in a row. It does not exceed `max_delay`, as far
    /// as the initial mean allows that. `random` is from 0 to 1.
    pub(crate) fn delay(&self, earlier_failures: u32, max_delay: f64, random: f64) -> f64 {
        let doublings = earlier_failures.min(self.max_doublings);
        let doubled_mean = self.initial_mean * f64::from(1 << doublings);
        let max_mean = max_delay / MAX_JITTER_FACTOR;
        let mean = doubled_mean.min(max_mean).max(self.initial_mean);
        mean * (MAX_JITTER_FACTOR - 1.0 + random)
    }
}
