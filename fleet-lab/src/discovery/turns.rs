//! The queue in which calls wait for their turn.
//!
//! Calls are handled in the order in which they came, at a fixed rate. A caller that leaves is noticed when its turn
//! comes, and the turn is spent all the same: a service that works off a queue learns of a caller's end only when it
//! turns to it. A call that has waited for the longest time allowed is turned down and uses no turn. As all turns
//! take the same time, it is known at a call's arrival when its turn comes, or that it comes too late.

use std::time::Duration;
use tokio::time::Instant;

/// What a call waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Turn {
    /// Its turn comes at this time.
    At(Instant),
    /// Its turn would come too late; it has waited for the longest time allowed at this time.
    TooLate(Instant),
}

/// The queue.
pub(super) struct Turns {
    time_per_call: Duration,
    longest_wait: Duration,
    next_turn: Instant,
}

impl Turns {
    /// An empty queue.
    pub(super) fn new(time_per_call: Duration, longest_wait: Duration, now: Instant) -> Self {
        Turns {
            time_per_call,
            longest_wait,
            next_turn: now,
        }
    }

    /// Takes a place in the queue for a call that has just come.
    pub(super) fn enter(&mut self, now: Instant) -> Turn {
        let turn = self.next_turn.max(now);
        if turn - now > self.longest_wait {
            return Turn::TooLate(now + self.longest_wait);
        }
        self.next_turn = turn + self.time_per_call;
        Turn::At(turn)
    }

    /// Changes the rate; calls that wait keep their turns.
    pub(super) fn set_time_per_call(&mut self, time_per_call: Duration) {
        self.time_per_call = time_per_call;
    }

    /// Forgets all calls that wait.
    pub(super) fn clear(&mut self, now: Instant) {
        self.next_turn = now;
    }
}
