//! Operators' connections that have not sent a command yet and may be closed for newer ones.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::sync::oneshot;

/// The connections whose command has not been received yet, oldest first.
#[derive(Clone, Debug, Default)]
pub struct WaitingConnections(Rc<RefCell<Queue>>);

#[derive(Debug, Default)]
struct Queue {
    next_number: u64,
    connections: VecDeque<QueuedConnection>,
}

#[derive(Debug)]
struct QueuedConnection {
    number: u64,
    /// Dropped to close the connection.
    _keep_open: oneshot::Sender<()>,
}

/// A connection's entry in [`WaitingConnections`], which is removed when this is dropped.
#[derive(Debug)]
pub struct WaitingConnection {
    number: u64,
    keep_open: oneshot::Receiver<()>,
    waiting: WaitingConnections,
}

impl WaitingConnections {
    /// Adds a connection, as the newest.
    #[must_use]
    pub fn add(&self) -> WaitingConnection {
        let (sender, keep_open) = oneshot::channel();
        let mut queue = self.0.borrow_mut();
        let number = queue.next_number;
        queue.next_number += 1;
        queue.connections.push_back(QueuedConnection {
            number,
            _keep_open: sender,
        });
        WaitingConnection {
            number,
            keep_open,
            waiting: self.clone(),
        }
    }

    /// Closes the oldest connection. Returns whether there was one.
    pub fn close_oldest(&self) -> bool {
        self.0.borrow_mut().connections.pop_front().is_some()
    }
}

impl WaitingConnection {
    /// Waits until the connection is to close for a newer one.
    pub async fn closed(&mut self) {
        let _ = (&mut self.keep_open).await; // the sender is dropped without sending a value
    }
}

impl Drop for WaitingConnection {
    fn drop(&mut self) {
        let mut queue = self.waiting.0.borrow_mut();
        queue
            .connections
            .retain(|connection| connection.number != self.number);
    }
}
