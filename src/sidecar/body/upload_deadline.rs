//! The minimum rate at which a client has to send its request body.

use std::time::Duration;
use tokio::time::Instant;

/// How long a client may take over a body, from the first byte of the request's head. Each [`MIN_RATE`] bytes received
/// add a second.
const BASE_TIME: Duration = Duration::from_millis(2_600);
/// Bytes a second: half the rate of the slowest client that has to be served.
const MIN_RATE: f64 = 32_000.0;
/// A piece of at least so many bytes shows that they were waiting to be read: the endpoint was slow, not the client.
const LARGE_FRAME: usize = 16 << 10;
/// The least time that is left to a client after a large piece.
const MIN_TIME_AFTER_LARGE_FRAME: Duration = Duration::from_secs(1);

/// The time by which a client has to have sent more of its body. It is paused while the sidecar does not wait for
/// the client.
#[derive(Debug)]
pub struct UploadDeadline {
    deadline: Instant,
    /// Since when the client is not waited for, if it is not.
    paused_since: Option<Instant>,
}

impl UploadDeadline {
    /// Creates the deadline of a request whose first byte arrived at `started_at`; the client is waited for.
    pub fn new(started_at: Instant) -> Self {
        UploadDeadline {
            deadline: started_at + BASE_TIME,
            paused_since: None,
        }
    }

    /// Notes that the client is waited for from now on, and returns the deadline.
    pub fn resume(&mut self) -> Instant {
        if let Some(paused_since) = self.paused_since.take() {
            self.deadline += paused_since.elapsed();
        }
        self.deadline
    }

    /// Notes that so many bytes were received, and that the client is not waited for until [`Self::resume`].
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
