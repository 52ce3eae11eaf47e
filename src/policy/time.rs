//! Timestamps and durations on the host's clock.

use std::time::Duration;

/// The longest duration that is computed from seconds, about 30 years. Sums and small multiples of it do not overflow.
const MAX_SECONDS: f64 = 1e9;

/// A point in time on the host's clock, which is monotonic and has an arbitrary start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(u64);

impl Timestamp {
    /// Creates a timestamp from nanoseconds on the host's clock.
    #[must_use]
    pub const fn from_nanos(nanos: u64) -> Self {
        Timestamp(nanos)
    }

    /// Returns the nanoseconds on the host's clock.
    #[must_use]
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// Returns the timestamp that is earlier by a duration, or zero if that would be negative.
    #[must_use]
    pub fn minus(self, duration: Duration) -> Timestamp {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_sub(nanos))
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_add(nanos))
    }
}

/// Converts seconds to a duration. Negative and NaN values become zero, and long durations are limited to
/// [`MAX_SECONDS`].
pub(super) fn duration_from_seconds(seconds: f64) -> Duration {
    let bounded = if seconds > MAX_SECONDS {
        MAX_SECONDS
    } else {
        seconds
    };
    Duration::try_from_secs_f64(bounded).unwrap_or_default()
}
