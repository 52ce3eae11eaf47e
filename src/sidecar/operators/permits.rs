//! The limit on operators' connections.

use std::cell::Cell;
use std::rc::Rc;

/// The maximum number of operators' connections at once. A command occupies one for a few milliseconds.
pub const MAX_CONNECTIONS: usize = 16;

/// Permits for operators' connections.
#[derive(Debug, Default)]
pub struct ConnectionPermits {
    in_use: Rc<Cell<usize>>,
}

/// A permit for one connection. It is in use until it is dropped, together with the connection.
#[derive(Debug)]
pub struct ConnectionPermit {
    in_use: Rc<Cell<usize>>,
}

impl ConnectionPermits {
    /// Returns whether [`MAX_CONNECTIONS`] permits are in use.
    #[must_use]
    pub fn are_exhausted(&self) -> bool {
        self.in_use.get() >= MAX_CONNECTIONS
    }

    /// Returns a permit for one more connection, without checking the limit.
    #[must_use]
    pub fn acquire(&self) -> ConnectionPermit {
        self.in_use.set(self.in_use.get() + 1);
        ConnectionPermit {
            in_use: Rc::clone(&self.in_use),
        }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.in_use.set(self.in_use.get() - 1);
    }
}
