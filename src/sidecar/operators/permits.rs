//! The limit on operators' connections.

use std::cell::Cell;
use std::rc::Rc;

/// Connections at once. A command occupies one for some milliseconds.
pub const MAX_CONNECTIONS: usize = 16;

/// Permits for operators' connections.
#[derive(Debug, Default)]
pub struct ConnectionPermits {
    held: Rc<Cell<usize>>,
}

/// A permit, held for as long as its connection is open.
#[derive(Debug)]
pub struct ConnectionPermit {
    held: Rc<Cell<usize>>,
}

impl ConnectionPermits {
    /// Returns whether as many permits are held as connections are allowed.
    #[must_use]
    pub fn are_exhausted(&self) -> bool {
        self.held.get() >= MAX_CONNECTIONS
    }

    /// Returns a permit for one more connection, whether or not they are exhausted.
    #[must_use]
    pub fn acquire(&self) -> ConnectionPermit {
        self.held.set(self.held.get() + 1);
        ConnectionPermit {
            held: Rc::clone(&self.held),
        }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.held.set(self.held.get() - 1);
    }
}
