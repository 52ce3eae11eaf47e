//! The least pace at which a caller has to send its body.

use std::time::Duration;
use tokio::time::Instant;

/// From a head's first byte a caller has so long for the body, and a second more for each [`LEAST_PACE`] bytes that have
/// come.
const BODY_TIME: Duration = Duration::from_millis(2_600);
/// Bytes a second: half the pace of the slowest caller that is served.
const LEAST_PACE: f64 = 32_000.0;
/// So much at once is a sign that the caller was not waited for, but the endpoint.
const LARGE_PIECE: usize = 16 << 10;
/// After a large piece a caller has so long at least.
const AFTER_LARGE_PIECE: Duration = Duration::from_secs(1);

/// How long a caller may still take over its body. Only waiting for the caller counts.
pub struct UploadDeadline {
    due: Instant,
    /// Since when it has been waited for, or it has not.
    since: Instant,
    is_waiting: bool,
}

impl UploadDeadline {
    /// For a request whose first byte came at an instant.
    pub fn new(begun: Instant) -> Self {
        UploadDeadline {
            due: begun + BODY_TIME,
            since: Instant::now(),
            is_waiting: true,
        }
    }

    /// The caller is waited for from now on, if it was not; returns when it is too slow, if nothing comes.
    pub fn wait(&mut self) -> Instant {
        if !self.is_waiting {
            self.due += self.since.elapsed();
            self.is_waiting = true;
        }
        self.due
    }

    /// So many bytes have come.
    pub fn received(&mut self, bytes: usize) {
        self.since = Instant::now();
        self.is_waiting = false;
        self.due += Duration::from_secs_f64(bytes as f64 / LEAST_PACE);
        if bytes >= LARGE_PIECE {
            self.due = self.due.max(self.since + AFTER_LARGE_PIECE);
        }
    }
}
