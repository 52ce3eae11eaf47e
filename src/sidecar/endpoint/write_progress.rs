//! The progress of writing attempts to connections.

use crate::sidecar::sockets::WriteObserver;
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::task::Poll;

/// The stage of writing an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// No attempt is being written. There was none, or the last one has been written completely and counted.
    Idle,
    /// hyper has not taken the complete request yet.
    Started,
    /// hyper has taken the complete request, and some of it may still be in hyper's buffer.
    Buffered,
}

/// Tracks what is written to a connection, and counts the attempts that were written completely. An attempt of which no
/// byte was written never ran.
#[derive(Debug)]
pub struct WriteProgress {
    bytes_written: Cell<u64>,
    stage: Cell<Stage>,
    /// The metric that counts completely written attempts.
    written_attempts: Rc<Cell<u64>>,
}

impl WriteProgress {
    /// Creates the progress of a new connection.
    pub fn new(written_attempts: Rc<Cell<u64>>) -> Self {
        WriteProgress {
            bytes_written: Cell::new(0),
            stage: Cell::new(Stage::Idle),
            written_attempts,
        }
    }

    /// Records that an attempt is about to be written. It is counted once it has been written completely.
    pub fn on_attempt_started(&self) {
        self.stage.set(Stage::Started);
    }

    /// Records that a health check is about to be written. Health checks are not counted.
    pub fn on_health_check_started(&self) {
        self.stage.set(Stage::Idle);
    }

    /// Records that hyper has taken the complete request. hyper writes it out before it flushes.
    pub fn on_request_buffered(&self) {
        if self.stage.get() == Stage::Started {
            self.stage.set(Stage::Buffered);
        }
    }

    /// Returns how many bytes have been written to the connection.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written.get()
    }

    /// Returns whether the last attempt has been written completely.
    pub fn is_complete(&self) -> bool {
        self.stage.get() == Stage::Idle
    }
}

impl WriteObserver for WriteProgress {
    fn on_write(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = result {
            self.bytes_written
                .set(self.bytes_written.get() + *bytes as u64);
        }
    }

    /// Counts the attempt if hyper had taken its complete request. hyper flushes only after it has written out its
    /// buffer, so the last byte of the request has then been written.
    fn on_flush(&self) {
        if self.stage.get() == Stage::Buffered {
            self.stage.set(Stage::Idle);
            self.written_attempts.set(self.written_attempts.get() + 1);
        }
    }
}
