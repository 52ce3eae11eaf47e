//! The clock that a host runs its balancer by.

use crate::policy::Timestamp;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The longest time from now on that is distinguished: timers and deadlines are limited to it, so that no sum overflows.
pub const MAX_TIME_AHEAD: Duration = Duration::from_secs(3600);

/// A monotonic clock that reads Unix time at its start and advances by the time elapsed since. The starts of endpoints,
/// which discovery gives in Unix time, need no conversion.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_instant: Instant,
    start_time: Timestamp,
}

impl Clock {
    /// Starts a clock at the present Unix time.
    #[must_use]
    pub fn start() -> Self {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start_instant: Instant::now(),
            start_time: Timestamp::default() + unix_time,
        }
    }

    /// Returns the present time.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.start_time + self.start_instant.elapsed()
    }

    /// Converts a past instant of the runtime's clock; one before the clock's start is that start.
    #[must_use]
    pub fn timestamp(&self, instant: Instant) -> Timestamp {
        self.start_time + instant.saturating_duration_since(self.start_instant)
    }

    /// Converts a point in time to an instant of the runtime's timers.
    #[must_use]
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        Instant::now() + timestamp.since(self.now()).min(MAX_TIME_AHEAD)
    }
}
