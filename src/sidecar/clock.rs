//! The sidecar's clock, which the decision module is run by.

use crate::policy::Timestamp;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The longest time ahead that is told apart from later ones, so that no sum overflows.
pub const FARTHEST: Duration = Duration::from_secs(3600);

/// One monotonic clock: Unix time at the start, and what has passed since. Starts of endpoints, which discovery gives in
/// Unix time, are points on it as they stand.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    started_at: Timestamp,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            started_at: Timestamp::default() + unix_time,
        }
    }

    /// Now.
    pub fn now(&self) -> Timestamp {
        self.started_at + self.started.elapsed()
    }

    /// A past instant of the runtime's clock.
    pub fn timestamp(&self, instant: Instant) -> Timestamp {
        self.started_at + instant.saturating_duration_since(self.started)
    }

    /// When the runtime's timers reach a point in time.
    pub fn instant(&self, timestamp: Timestamp) -> Instant {
        Instant::now() + timestamp.since(self.now()).min(FARTHEST)
    }
}
