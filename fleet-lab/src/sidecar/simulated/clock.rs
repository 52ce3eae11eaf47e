//! The clock of a simulated sidecar's decision module.

use balancer_sidecar::policy::Timestamp;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The longest time ahead that a timer is set for, so that no sum of times overflows.
const MAX_TIME_AHEAD: Duration = Duration::from_secs(3600);

/// A monotonic clock that starts at the current Unix time. The start times of endpoints, which discovery publishes in
/// Unix time, can therefore be compared with it.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    started: Instant,
    started_at: Timestamp,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            started_at: Timestamp::default() + unix,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.started_at + self.started.elapsed()
    }

    /// Converts a time of this clock into the runtime's time.
    pub fn instant(&self, time: Timestamp) -> Instant {
        Instant::now() + time.since(self.now()).min(MAX_TIME_AHEAD)
    }
}
