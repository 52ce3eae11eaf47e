//! Exponential backoff with jitter, for calls that a whole fleet may have to make again at the same time.

/// A pause is at most this many times its mean, and at least as much less than it.
pub(crate) const MAX_JITTER_FACTOR: f64 = 1.5;

/// Pauses whose mean doubles with each failure in a row.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ExponentialBackoff {
    /// The mean pause after the first failure, in seconds; also the least mean.
    pub(crate) first: f64,
    /// How often the mean doubles.
    pub(crate) max_doublings: u32,
}

impl ExponentialBackoff {
    /// The pause in seconds after so many earlier failures in a row. Even with the longest jitter it is not
    /// over `longest`, where the first mean allows that. `random` is from 0 to 1.
    pub(crate) fn pause(&self, earlier_failures: u32, longest: f64, random: f64) -> f64 {
        let doubled = self.first * f64::from(1 << earlier_failures.min(self.max_doublings));
        let mean = doubled.min(longest / MAX_JITTER_FACTOR).max(self.first);
        mean * (MAX_JITTER_FACTOR - 1.0 + random)
    }
}
