//! The deadline that enforces a minimum rate of a client's request body.

use std::time::Duration;
use tokio::time::Instant;

/// The time that a client has for a body, from the first byte of the request's head. Every [`MIN_RATE`] bytes received
/// add one second.
const BASE_TIME: Duration = Duration::from_millis(2_600);
/// The minimum rate in bytes per second: half the rate of the slowest client that has to be served.
const MIN_RATE: f64 = 32_000.0;
/// The size in bytes from which a data frame shows that the client was not slow. So many bytes were waiting to be read
/// because the endpoint had taken the previous ones slowly.
const LARGE_FRAME: usize = 16 << 10;
/// The minimum time that a client has left after a frame of at least [`LARGE_FRAME`] bytes.
const MIN_TIME_AFTER_LARGE_FRAME: Duration = Duration::from_secs(1);

/// The time by which a client has to send more of its body. The deadline is paused while the sidecar does not wait for
/// the client.
#[derive(Debug)]
pub struct UploadDeadline {
    deadline: Instant,
    /// The time at which the sidecar stopped waiting for the client, while the deadline is paused.
    paused_since: Option<Instant>,
}

impl UploadDeadline {
    /// Creates the deadline of a request whose first byte arrived at `started_at`. It is not paused.
    pub fn new(started_at: Instant) -> Self {
        UploadDeadline {
            deadline: started_at + BASE_TIME,
            paused_since: None,
        }
    }

    /// Ends the pause, if the deadline is paused, and returns the deadline.
    pub fn resume(&mut self) -> Instant {
        if let Some(paused_since) = self.paused_since.take() {
            self.deadline += paused_since.elapsed();
        }
        self.deadline
    }

    /// Extends the deadline for `bytes` received bytes, and pauses it until [`Self::resume`].
    pub fn on_received(&mut self, bytes: usize) {
        let now = Instant::now();
        self.paused_since = Some(now);
        self.deadline += Duration::from_secs_f64(bytes as f64 / MIN_RATE);
        if bytes >= LARGE_FRAME {
            self.deadline = self.deadline.max(now + MIN_TIME_AFTER_LARGE_FRAME);
        }
    }
}

#[cfg(test)]
#[path = "upload_deadline_tests.rs"]
mod tests;
