//! The deadline of a graceful shutdown, by which every request that arrives during it is answered.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The deadline of the process's graceful shutdown, if one has begun. All clones share it, so that it limits a request
/// in the same way wherever the request's last byte is received.
#[derive(Clone, Debug, Default)]
pub struct ShutdownDeadline {
    state: Rc<State>,
}

#[derive(Debug, Default)]
struct State {
    deadline: Cell<Option<Instant>>,
    /// Notified when a shutdown begins.
    begun: Notify,
}

impl ShutdownDeadline {
    /// Begins a graceful shutdown, and wakes the tasks that wait for this.
    pub fn begin(&self, deadline: Instant) {
        self.state.deadline.set(Some(deadline));
        self.state.begun.notify_waiters();
    }

    /// Returns the deadline, or `None` if no shutdown has begun.
    pub fn get(&self) -> Option<Instant> {
        self.state.deadline.get()
    }

    /// Returns the deadline of a request whose last byte is received now, or later. `deadline` is the request's own.
    pub fn limit(&self, deadline: Instant) -> Instant {
        self.get().map_or(deadline, |limit| deadline.min(limit))
    }

    /// Waits until a shutdown begins. Never ends if one has begun already.
    pub async fn wait_until_begun(&self) {
        self.state.begun.notified().await;
    }
}
