//! How far the writing of an attempt on its connection has come.

use std::cell::Cell;
use std::rc::Rc;

/// How far the writing of an attempt has come.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// None is being written, or it is counted.
    Idle,
    /// hyper has not taken all of it yet.
    Begun,
    /// hyper has taken all of it, and may have some in its buffer.
    Taken,
}

/// What is known of the writing on a connection.
pub struct WriteProgress {
    /// Bytes: an attempt of which none was written never ran.
    written: Cell<u64>,
    stage: Cell<Stage>,
    /// The figure of attempts that were written whole.
    attempts: Rc<Cell<u64>>,
}

impl WriteProgress {
    /// For a new connection.
    pub fn new(attempts: Rc<Cell<u64>>) -> Self {
        WriteProgress {
            written: Cell::new(0),
            stage: Cell::new(Stage::Idle),
            attempts,
        }
    }

    /// An attempt begins, which counts.
    pub fn attempt_begins(&self) {
        self.stage.set(Stage::Begun);
    }

    /// A probe begins, which does not count.
    pub fn health_check_begins(&self) {
        self.stage.set(Stage::Idle);
    }

    /// hyper has taken the whole request, and writes it out before it flushes.
    pub fn request_taken(&self) {
        if self.stage.get() == Stage::Begun {
            self.stage.set(Stage::Taken);
        }
    }

    /// So many bytes were written.
    pub fn wrote(&self, bytes: usize) {
        self.written.set(self.written.get() + bytes as u64);
    }

    /// hyper flushes only what it has written out: an attempt that it had taken whole has its last byte written.
    pub fn flushed(&self) {
        if self.stage.get() == Stage::Taken {
            self.stage.set(Stage::Idle);
            self.attempts.set(self.attempts.get() + 1);
        }
    }

    /// Bytes written so far.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// Whether all of the last attempt is written.
    pub fn is_whole(&self) -> bool {
        self.stage.get() == Stage::Idle
    }
}
