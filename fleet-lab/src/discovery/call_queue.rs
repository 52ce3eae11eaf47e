//! The queue in which calls wait until the service handles them.
//!
//! Calls are handled in order of arrival at a fixed rate. A client that disconnects while its call is queued is noticed
//! only when the call reaches the head of the queue, and the call uses its slot all the same, as in a service that does
//! not watch the connections of queued calls. A call that waits for longer than the queue timeout is rejected and uses
//! no slot. As all calls take the same time, the result of the wait is known when a call arrives.

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

/// A first-in, first-out queue with a fixed service rate.
pub(super) struct CallQueue {
    time_per_call: Duration,
    queue_timeout: Duration,
    next_slot: Instant,
}

impl CallQueue {
    /// Creates an empty queue.
    pub(super) fn new(time_per_call: Duration, queue_timeout: Duration, now: Instant) -> Self {
        CallQueue {
            time_per_call,
            queue_timeout,
            next_slot: now,
        }
    }

    /// Queues a call that arrives now.
    pub(super) fn enqueue(&mut self, now: Instant) -> Admission {
        let slot = self.next_slot.max(now);
        if slot - now > self.queue_timeout {
            return Admission::TimesOutAt(now + self.queue_timeout);
        }
        self.next_slot = slot + self.time_per_call;
        Admission::HandledAt(slot)
    }

    /// Changes the service rate. Calls that are already queued keep their slots.
    pub(super) fn set_time_per_call(&mut self, time_per_call: Duration) {
        self.time_per_call = time_per_call;
    }

    /// Removes all queued calls.
    pub(super) fn clear(&mut self, now: Instant) {
        self.next_slot = now;
    }
}
