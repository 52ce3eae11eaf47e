//! The flushes of a caller's connection.

use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};

/// Counts how often everything written to a connection so far was passed to its socket.
#[derive(Debug, Default)]
pub struct FlushCounter {
    count: Cell<u64>,
    /// Wakes the response that waits for the next flush.
    waker: RefCell<Option<Waker>>,
}

impl FlushCounter {
    /// Returns the number of flushes.
    pub fn count(&self) -> u64 {
        self.count.get()
    }

    /// Counts a flush.
    pub fn on_flush(&self) {
        self.count.set(self.count.get() + 1);
        if let Some(waiting) = self.waker.take() {
            waiting.wake();
        }
    }

    /// Ready once there were more flushes than `count`. Only one task may wait.
    pub fn poll_more_than(&self, count: u64, context: &mut Context<'_>) -> Poll<()> {
        if self.count.get() > count {
            return Poll::Ready(());
        }
        *self.waker.borrow_mut() = Some(context.waker().clone());
        Poll::Pending
    }
}
