//! The clock of a host, which passes the time to its balancer.

use crate::policy::Timestamp;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The maximum time from now to a timer or a deadline. Longer times are reduced to it, because a sum of times could
/// otherwise overflow.
pub const MAX_TIME_AHEAD: Duration = Duration::from_secs(3600);

/// A monotonic clock that is set to Unix time at its start and advances by the time elapsed since.
///
/// Endpoint lists give the start times of endpoints in Unix time, too. They need no conversion.
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

    /// Converts a past instant of the runtime's clock. An instant before the clock's start is converted to that start.
    #[must_use]
    pub fn timestamp(&self, instant: Instant) -> Timestamp {
        self.start_time + instant.saturating_duration_since(self.start_instant)
    }

    /// Converts a point in time to an instant for the runtime's timers, at most [`MAX_TIME_AHEAD`] from now.
    #[must_use]
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        Instant::now() + timestamp.since(self.now()).min(MAX_TIME_AHEAD)
    }
}
