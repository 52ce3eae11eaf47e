//! What has arrived on a caller's connection, read or not.

use super::connection_state::ConnectionState;
use crate::sidecar::body::ConnectionArrival;
use crate::sidecar::sockets;
use std::rc::Rc;
use tokio::net::TcpStream;

/// The bytes that have arrived on a caller's connection: those that were read, and those that wait in the kernel.
#[derive(Debug)]
pub struct CallerArrival {
    stream: Rc<TcpStream>,
    connection: Rc<ConnectionState>,
}

impl CallerArrival {
    /// Creates it for a connection.
    pub fn new(stream: Rc<TcpStream>, connection: Rc<ConnectionState>) -> Self {
        CallerArrival { stream, connection }
    }
}

impl ConnectionArrival for CallerArrival {
    fn read_bytes(&self) -> u64 {
        self.connection.read_position().bytes_read()
    }

    fn unread_bytes(&self) -> u64 {
        sockets::unread_bytes(&self.stream)
    }

    fn request_end(&self) -> Option<u64> {
        self.connection.read_position().request_end()
    }
}

#[cfg(test)]
#[path = "arrival_tests.rs"]
mod tests;
