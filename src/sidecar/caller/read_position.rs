//! Positions in the bytes that a caller sends on its connection.

use std::cell::Cell;

/// The position up to which a caller's connection was read, and the end of the current request.
#[derive(Debug, Default)]
pub struct ReadPosition {
    bytes_read: Cell<u64>,
    request_end: Cell<Option<u64>>,
}

impl ReadPosition {
    /// Counts bytes that were read from the socket.
    pub fn advance(&self, bytes: usize) {
        self.bytes_read.set(self.bytes_read.get() + bytes as u64);
    }

    /// Returns how many bytes were read from the socket.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read.get()
    }

    /// Sets how many bytes were read when the current request is complete. `None` if its length is not declared.
    pub fn set_request_end(&self, end: Option<u64>) {
        self.request_end.set(end);
    }

    /// Returns how many bytes were read when the current request is complete. `None` if its length is not declared.
    pub fn request_end(&self) -> Option<u64> {
        self.request_end.get()
    }
}
