//! The clock of a hollow sidecar's decision module.

use balancer_sidecar::policy::Timestamp;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The longest time ahead that a timer is set for, so that no sum overflows.
const LONGEST_TIMER: Duration = Duration::from_secs(3600);

/// One monotonic clock: Unix time at its start, and what has passed since. Starts of endpoints, which discovery gives
/// in Unix time, are moments of it as they stand.
#[derive(Clone, Copy)]
pub(super) struct Clock {
    started: Instant,
    started_at: Timestamp,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            started_at: Timestamp::default() + unix,
        }
    }

    pub fn now(&self) -> Timestamp {
        self.started_at + self.started.elapsed()
    }

    /// When the runtime's timers reach a moment.
    pub fn instant(&self, moment: Timestamp) -> Instant {
        Instant::now() + moment.since(self.now()).min(LONGEST_TIMER)
    }
}
