//! The deadline of a request whose body is streamed. It counts from the arrival of the body's last byte.

use super::arrival_history::ArrivalHistory;
use crate::sidecar::shutdown_deadline::ShutdownDeadline;
use std::cell::{Cell, RefCell};
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
    /// What was seen of the body's arrival.
    history: RefCell<ArrivalHistory>,
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
        let arrived = arrival.arrived_bytes();
        RequestDeadline {
            arrival,
            shutdown,
            last_progress_at: Cell::new(now),
            awaits_client: Cell::new(false),
            history: RefCell::new(ArrivalHistory::new(now, arrived)),
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
            self.history.borrow_mut().on_all_read();
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
                at: self.history.borrow().arrived_bytes_written_at(),
                shutdown_deadline: self.shutdown.get(),
            }));
            self.completed.notify_waiters();
        }
    }

    /// Looks for bytes that have arrived since the last look.
    fn check_arrival(&self) {
        let unread = self.arrival.unread_bytes();
        let arrived = self.arrival.read_bytes() + unread;
        let mut history = self.history.borrow_mut();
        history.look(Instant::now(), arrived, unread);
        drop(history);
        let request_end = self.arrival.request_end();
        if request_end.is_some_and(|end| arrived >= end) {
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
        match self.may_be_written_at() {
            Some(written_at) => written_at + time_left,
            None => self.last_progress_at.get() + time_left.max(MAX_PAUSE),
        }
    }

    /// Returns the earliest time at which the client may have written all of a body whose last byte is not known to have
    /// arrived. `None` if it has more to write. Without a declared length, what has arrived may be all that there is. With
    /// one, the rest may wait in the client's kernel.
    fn may_be_written_at(&self) -> Option<Instant> {
        if self.awaits_client.get() {
            return None;
        }
        let history = self.history.borrow();
        match self.arrival.request_end() {
            None => Some(history.arrived_bytes_written_at()),
            Some(end) => history.unarrived_bytes_written_at(end),
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
