//! The deadline of a request whose body is streamed. It counts from the arrival of the body's last byte.

use crate::sidecar::shutdown_deadline::ShutdownDeadline;
use std::cell::Cell;
use std::fmt;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

/// The maximum time without progress of a streamed request body. It applies to a slow client and a slow endpoint alike.
const MAX_PAUSE: Duration = Duration::from_secs(6);
/// The interval at which a wait looks for bytes that have arrived and not been read. An answer may be late by it, and may
/// be half a second late at most.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The number of unread bytes from which the kernel's receive buffer may be full. More bytes then wait in the client's
/// kernel, and the client may have written them long before they arrive.
const FULL_BUFFER: u64 = 32 << 10;
/// The number of bytes that a client's kernel may hold: the default maximum of the send buffer on Linux.
const CLIENT_BUFFER: u64 = 4 << 20;

/// What has arrived on a caller's connection, whether it has been read or waits in the kernel.
pub trait ConnectionArrival: fmt::Debug {
    /// Returns how many bytes were read from the connection.
    fn read_bytes(&self) -> u64;

    /// Returns how many bytes have arrived on the connection and were not read.
    fn unread_bytes(&self) -> u64;

    /// Returns how many bytes have arrived on the connection.
    fn arrived_bytes(&self) -> u64 {
        self.read_bytes() + self.unread_bytes()
    }

    /// Returns how many bytes have arrived when the current request is complete. `None` if its length is not declared.
    fn request_end(&self) -> Option<u64>;
}

/// The only owner of the deadline of a request whose body is streamed. All tasks that wait for the request use it.
///
/// The client's time counts from the moment in which it has written the body's last byte. That is earlier than the last
/// read where the endpoint takes the body slowly or not at all: bytes wait in the kernel here, and once that takes no
/// more, in the client's kernel. What arrives from there may have been written when the receive buffer was last seen
/// with room, as far as a client's kernel holds that much.
#[derive(Debug)]
pub struct RequestDeadline {
    arrival: Rc<dyn ConnectionArrival>,
    shutdown: ShutdownDeadline,
    /// The time at which the attempt started, or at which a part of the body was last read.
    last_progress_at: Cell<Instant>,
    /// True while everything that has arrived was read, so that the client has to send more.
    awaits_client: Cell<bool>,
    /// The arrival to which the present bytes are attributed.
    last_write: Cell<Arrival>,
    /// True if the receive buffer had room at the last look at the connection, or everything was read since then.
    had_room: Cell<bool>,
    /// Set once the last byte has arrived.
    completion: Cell<Option<Completion>>,
    /// Notified when `completion` is set.
    completed: Notify,
}

/// The last time at which a client is known to have written, as far as it can be seen here.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    /// The time of the first look at which the bytes had arrived.
    at: Instant,
    /// The number of bytes that had arrived by then.
    bytes: u64,
}

/// The arrival of a body's last byte.
#[derive(Clone, Copy, Debug)]
struct Completion {
    at: Instant,
    /// The deadline of the graceful shutdown, if one had begun before.
    shutdown_deadline: Option<Instant>,
}

impl RequestDeadline {
    /// Creates the deadline of a request whose body is still arriving.
    pub fn new(arrival: Rc<dyn ConnectionArrival>, shutdown: ShutdownDeadline) -> Self {
        let now = Instant::now();
        let bytes = arrival.arrived_bytes();
        RequestDeadline {
            arrival,
            shutdown,
            last_progress_at: Cell::new(now),
            awaits_client: Cell::new(false),
            last_write: Cell::new(Arrival { at: now, bytes }),
            had_room: Cell::new(true),
            completion: Cell::new(None),
            completed: Notify::new(),
        }
    }

    /// Records that an attempt starts, or that a part of the body was read.
    pub fn on_progress(&self) {
        self.last_progress_at.set(Instant::now());
        self.awaits_client.set(false);
    }

    /// Records that there is nothing to read at the moment. The client is awaited unless bytes wait in the kernel, which
    /// its connection's task is about to read.
    pub fn on_nothing_to_read(&self) {
        if self.arrival.unread_bytes() == 0 {
            self.awaits_client.set(true);
            self.had_room.set(true);
        }
    }

    /// Records that the body's last byte was read, and wakes the tasks that wait.
    pub fn on_body_complete(&self) {
        self.check_arrival();
        self.complete();
    }

    /// Records that the body's last byte has arrived, and wakes the tasks that wait.
    fn complete(&self) {
        if self.completion.get().is_none() {
            self.completion.set(Some(Completion {
                at: self.last_write.get().at,
                shutdown_deadline: self.shutdown.get(),
            }));
            self.completed.notify_waiters();
        }
    }

    /// Looks for bytes that have arrived since the last look. They count from now if the receive buffer had room for them,
    /// so that an endpoint that takes them in time is not given up early. Otherwise the client may have written them
    /// with the last ones, unless they are more than its kernel holds.
    fn check_arrival(&self) {
        let unread = self.arrival.unread_bytes();
        let bytes = self.arrival.read_bytes() + unread;
        let last = self.last_write.get();
        let had_room = self.had_room.replace(unread < FULL_BUFFER);
        if bytes > last.bytes && (had_room || bytes - last.bytes > CLIENT_BUFFER) {
            self.last_write.set(Arrival {
                at: Instant::now(),
                bytes,
            });
        }
        let request_end = self.arrival.request_end();
        if request_end.is_some_and(|end| bytes >= end) {
            self.complete();
        }
    }

    /// Returns the present deadline of a request whose client waits for `time_left` after the body's last byte. A graceful
    /// shutdown limits it unless the last byte arrived before the shutdown.
    pub fn current(&self, time_left: Duration) -> Instant {
        let (own_deadline, shutdown_deadline) = match self.completion.get() {
            Some(completion) => (completion.at + time_left, completion.shutdown_deadline),
            None => (self.deadline_of_incomplete(time_left), self.shutdown.get()),
        };
        shutdown_deadline.map_or(own_deadline, |limit| own_deadline.min(limit))
    }

    /// Returns the deadline of a request whose last byte is not known to have arrived.
    fn deadline_of_incomplete(&self, time_left: Duration) -> Instant {
        if self.may_be_written() {
            self.last_write.get().at + time_left
        } else {
            self.last_progress_at.get() + time_left.max(MAX_PAUSE)
        }
    }

    /// Returns whether the client may have written all of a body whose last byte is not known to have arrived. Without a
    /// declared length, the unread bytes may be all that there is. With one, the rest may wait in the client's kernel.
    fn may_be_written(&self) -> bool {
        if self.awaits_client.get() {
            return false;
        }
        match self.arrival.request_end() {
            None => true,
            Some(end) => {
                let is_full = !self.had_room.get();
                is_full && end.saturating_sub(self.last_write.get().bytes) <= CLIENT_BUFFER
            }
        }
    }

    /// Awaits work up to `slack` after the deadline of a request whose client waits for `time_left` after the body's last
    /// byte. Returns `None` once that has passed.
    pub async fn timeout<T>(
        &self,
        time_left: Duration,
        slack: Duration,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let mut work = pin!(work);
        loop {
            tokio::select! {
                biased;
                output = work.as_mut() => return Some(output),
                () = self.completed.notified() => {}
                () = self.shutdown.wait_until_begun() => {}
                () = sleep_until(self.next_check(time_left, slack)) => {}
            }
            if self.completion.get().is_none() {
                self.check_arrival();
            }
            if Instant::now() >= self.current(time_left) + slack {
                return None;
            }
        }
    }

    /// Returns the time at which the deadline is to be looked at again.
    fn next_check(&self, time_left: Duration, slack: Duration) -> Instant {
        let deadline = self.current(time_left) + slack;
        if self.completion.get().is_some() {
            deadline
        } else {
            deadline.min(Instant::now() + ARRIVAL_CHECK_INTERVAL)
        }
    }
}

#[cfg(test)]
#[path = "request_deadline_tests.rs"]
mod tests;
