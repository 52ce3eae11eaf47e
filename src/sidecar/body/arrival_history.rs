//! When a client may have written the last byte of a body that waits in the kernels.
//!
//! A full receive buffer here stops the client's machine, whose kernel then holds what the client goes on writing. From here
//! it cannot be seen how much that is, only that it is no more than [`CLIENT_BUFFER`].

use std::collections::VecDeque;
use tokio::time::Instant;

/// The number of unread bytes from which the kernel's receive buffer may be full. More bytes then wait in the client's
/// kernel, and the client may have written them long before they arrive.
pub const FULL_BUFFER: u64 = 32 << 10;
/// The number of bytes that a client's kernel may hold: the default maximum of the send buffer on Linux.
pub const CLIENT_BUFFER: u64 = 4 << 20;
/// The number of bytes between two looks that are kept.
pub const LOOK_INTERVAL: u64 = 64 << 10;

/// Looks at a caller's connection: the last one at which its receive buffer had room, and those since then.
#[derive(Debug)]
pub struct ArrivalHistory {
    /// The looks in the order of time, at least one.
    looks: VecDeque<Look>,
    /// The number of bytes that had arrived at the last look.
    arrived: u64,
    /// True if the receive buffer had room at the last look, or everything was read since then.
    had_room: bool,
}

/// One look at a connection.
#[derive(Clone, Copy, Debug)]
struct Look {
    at: Instant,
    /// The number of bytes that had arrived.
    arrived: u64,
}

impl ArrivalHistory {
    /// Creates the history of a connection on which `arrived` bytes have arrived.
    pub fn new(now: Instant, arrived: u64) -> Self {
        ArrivalHistory {
            looks: VecDeque::from([Look { at: now, arrived }]),
            arrived,
            had_room: true,
        }
    }

    /// Records that everything that has arrived was read.
    pub fn on_all_read(&mut self) {
        self.had_room = true;
    }

    /// Records a look at which `arrived` bytes had arrived, `unread` of them not read yet. Bytes that arrive while the
    /// receive buffer has room were just written, so that an endpoint that takes them in time is not given up early.
    pub fn look(&mut self, now: Instant, arrived: u64, unread: u64) {
        let had_room = std::mem::replace(&mut self.had_room, unread < FULL_BUFFER);
        let has_grown = arrived > self.arrived;
        self.arrived = arrived;
        if had_room && has_grown {
            self.looks.clear();
        }
        let last_kept = self.looks.back().map(|look| look.arrived);
        if last_kept.is_none_or(|last| arrived >= last + LOOK_INTERVAL) {
            self.looks.push_back(Look { at: now, arrived });
        }
        while self.looks.len() > 1 && self.looks[1].arrived + CLIENT_BUFFER < arrived {
            self.looks.pop_front();
        }
    }

    /// Returns the earliest time at which the client may have written all that has arrived.
    pub fn arrived_bytes_written_at(&self) -> Instant {
        self.written_at(self.arrived).unwrap_or(self.looks[0].at)
    }

    /// Returns the earliest time at which the client may have written `total` bytes, of which not all have arrived. `None`
    /// if it cannot have written them yet.
    pub fn unarrived_bytes_written_at(&self, total: u64) -> Option<Instant> {
        if self.had_room {
            return None; // what the client has written is here
        }
        self.written_at(total)
    }

    /// Returns the time of the last look before the one at which all but [`CLIENT_BUFFER`] of `total` bytes had arrived.
    fn written_at(&self, total: u64) -> Option<Instant> {
        let needed = total.saturating_sub(CLIENT_BUFFER);
        let position = self.looks.iter().position(|look| look.arrived >= needed)?;
        Some(self.looks[position.saturating_sub(1)].at)
    }
}

#[cfg(test)]
#[path = "arrival_history_tests.rs"]
mod tests;
