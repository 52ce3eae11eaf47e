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

/// What has arrived on a caller's connection, whether it has been read or waits in the kernel.
pub trait ConnectionArrival: fmt::Debug {
    /// Returns how many bytes have arrived on the connection.
    fn arrived_bytes(&self) -> u64;

    /// Returns how many bytes have arrived when the current request is complete. `None` if its length is not declared.
    fn request_end(&self) -> Option<u64>;
}

/// The only owner of the deadline of a request whose body is streamed. All tasks that wait for the request use it.
///
/// The client's time counts from the arrival of the body's last byte at this machine. That is earlier than its last
/// read where the endpoint takes the body slowly or not at all, so that bytes wait in the kernel.
#[derive(Debug)]
pub struct RequestDeadline {
    arrival: Rc<dyn ConnectionArrival>,
    shutdown: ShutdownDeadline,
    /// The time at which the attempt started, or at which a part of the body was last read.
    last_progress_at: Cell<Instant>,
    /// True while everything that has arrived was read, so that the client has to send more.
    awaits_client: Cell<bool>,
    /// The number of bytes that had arrived at the last look at the connection.
    arrived_bytes: Cell<u64>,
    /// The time of the first look at which the last of these bytes had arrived.
    last_arrival_at: Cell<Instant>,
    /// Set once the last byte has arrived.
    completion: Cell<Option<Completion>>,
    /// Notified when `completion` is set.
    completed: Notify,
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
        let arrived_bytes = arrival.arrived_bytes();
        RequestDeadline {
            arrival,
            shutdown,
            last_progress_at: Cell::new(now),
            awaits_client: Cell::new(false),
            arrived_bytes: Cell::new(arrived_bytes),
            last_arrival_at: Cell::new(now),
            completion: Cell::new(None),
            completed: Notify::new(),
        }
    }

    /// Records that an attempt starts, or that a part of the body was read.
    pub fn on_progress(&self) {
        self.last_progress_at.set(Instant::now());
        self.awaits_client.set(false);
    }

    /// Records that everything that has arrived was read.
    pub fn on_client_awaited(&self) {
        self.awaits_client.set(true);
    }

    /// Records that the body's last byte has arrived, and wakes the tasks that wait.
    pub fn on_body_complete(&self) {
        if self.completion.get().is_none() {
            self.completion.set(Some(Completion {
                at: Instant::now(),
                shutdown_deadline: self.shutdown.get(),
            }));
            self.completed.notify_waiters();
        }
    }

    /// Looks for bytes that have arrived since the last look. They count from now, so that an endpoint that takes them in
    /// time is not given up early.
    fn check_arrival(&self) {
        let arrived_bytes = self.arrival.arrived_bytes();
        if arrived_bytes > self.arrived_bytes.replace(arrived_bytes) {
            self.last_arrival_at.set(Instant::now());
        }
        let request_end = self.arrival.request_end();
        if request_end.is_some_and(|end| arrived_bytes >= end) {
            self.on_body_complete();
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

    /// Returns the deadline of a request whose last byte is not known to have arrived. Without a declared length, the
    /// unread bytes may be all that there is.
    fn deadline_of_incomplete(&self, time_left: Duration) -> Instant {
        if self.arrival.request_end().is_none() && !self.awaits_client.get() {
            self.last_arrival_at.get() + time_left
        } else {
            self.last_progress_at.get() + time_left.max(MAX_PAUSE)
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
