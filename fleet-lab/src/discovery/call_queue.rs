//! The queue in which calls wait until the service handles them.
//!
//! Calls are handled in order of arrival; each takes a fixed time and a time for each list entry of its answer. A client that disconnects while its call is queued is noticed
//! only when the call reaches the head of the queue, and the call uses its slot all the same, as in a service that does
//! not watch the connections of queued calls. A call that waits for longer than the queue timeout is rejected and uses
//! no slot. The time of a call is known when it arrives, and so is the result of its wait.

use std::time::Duration;
use tokio::time::Instant;

/// The result of queueing a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Admission {
    /// The call is handled at this time.
    HandledAt(Instant),
    /// The call is rejected at this time, after the queue timeout.
    TimesOutAt(Instant),
}

/// How long the service works on a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallTimes {
    /// For the call itself.
    pub(super) per_call: Duration,
    /// For each list entry of its answer.
    pub(super) per_entry: Duration,
}

impl CallTimes {
    /// Returns the time of a call whose answer has this number of entries.
    fn of_call(self, entries: usize) -> Duration {
        self.per_call + self.per_entry.mul_f64(entries as f64)
    }
}

/// A first-in, first-out queue.
pub(super) struct CallQueue {
    times: CallTimes,
    queue_timeout: Duration,
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

    /// Queues a call that arrives now, and whose answer has this number of list entries.
    pub(super) fn enqueue(&mut self, now: Instant, entries: usize) -> Admission {
        let slot = self.next_slot.max(now);
        if slot - now > self.queue_timeout {
            return Admission::TimesOutAt(now + self.queue_timeout);
        }
        self.next_slot = slot + self.times.of_call(entries);
        Admission::HandledAt(slot)
    }

    /// Changes the times of calls. Calls that are already queued keep their slots.
    pub(super) fn set_times(&mut self, times: CallTimes) {
        self.times = times;
    }

    /// Removes all queued calls.
    pub(super) fn clear(&mut self, now: Instant) {
        self.next_slot = now;
    }
}
