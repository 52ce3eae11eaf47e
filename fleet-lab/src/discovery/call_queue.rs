//! The queue in which calls wait until the service handles them.
//!
//! Calls are handled in order of arrival. Each takes a fixed time, and a time for each list entry of its response. A
//! call that would wait for longer than the queue timeout is rejected at that timeout and uses no slot.
//!
//! The service does not watch the connections of queued calls. It notices that a client has disconnected only when the
//! call reaches the head of the queue; the call uses its slot all the same.
//!
//! The start of a call's slot is known when the call arrives, and with it the result of its wait.

use std::time::Duration;
use tokio::time::Instant;

/// The result of adding a call to the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Admission {
    /// The call is handled at this time.
    HandledAt(Instant),
    /// The call is rejected at this time, after the queue timeout.
    TimesOutAt(Instant),
}

/// The time that the service needs for a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallTimes {
    /// The time for the call itself.
    pub(super) per_call: Duration,
    /// The time for each list entry of its response.
    pub(super) per_entry: Duration,
}

impl CallTimes {
    /// Returns the time for a call with this number of list entries in its response.
    fn of_call(self, entries: usize) -> Duration {
        self.per_call + self.per_entry.mul_f64(entries as f64)
    }
}

/// A first-in, first-out queue of calls.
pub(super) struct CallQueue {
    times: CallTimes,
    queue_timeout: Duration,
    /// The time from which the service can handle another call.
    next_slot: Instant,
}

impl CallQueue {
    /// Creates an empty queue.
    pub(super) fn new(times: CallTimes, queue_timeout: Duration, now: Instant) -> Self {
        CallQueue {
            times,
            queue_timeout,
            next_slot: now,
        }
    }

    /// Adds a call that arrives now. `entries` is the number of list entries in its response.
    pub(super) fn enqueue(&mut self, now: Instant, entries: usize) -> Admission {
        let slot = self.next_slot.max(now);
        if slot - now > self.queue_timeout {
            return Admission::TimesOutAt(now + self.queue_timeout);
        }
        self.next_slot = slot + self.times.of_call(entries);
        Admission::HandledAt(slot)
    }

    /// Changes the time that calls need. Calls that are already queued keep their slots.
    pub(super) fn set_times(&mut self, times: CallTimes) {
        self.times = times;
    }

    /// Removes all queued calls.
    pub(super) fn clear(&mut self, now: Instant) {
        self.next_slot = now;
    }
}
