//! The table of callers' connections.
//!
//! The table decides which connections close for a shutdown, a drain or a hot restart, or because their descriptors are
//! needed.

use super::connection_state::{ConnectionState, FIRST_REQUEST_GRACE};
use super::drain_state::DrainState;
use super::persistence::Persistence;
use super::phase::Phase;
use crate::sidecar::counters::EarlyRejection;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// The time for which a connection must be idle after a response before it is evicted as [`EvictionRank::LongIdle`].
const IDLE_GRACE: Duration = Duration::from_secs(2);
/// The time without a received byte after which an incomplete head counts as stalled. Even a slow client sends more
/// often.
const HEAD_STALL_TIMEOUT: Duration = Duration::from_millis(700);

/// The callers' connections.
#[derive(Debug, Default)]
pub struct CallerTable {
    connections: HashMap<u64, Caller>,
    next_number: u64,
    /// Set once graceful shutdown has begun. Each connection then closes when it is idle.
    is_shutting_down: bool,
    /// Notified during a shutdown when the last connection has closed.
    all_closed: Rc<Notify>,
    /// True while another process accepts callers. Each connection here then closes after its next response.
    accepted_elsewhere: watch::Sender<bool>,
    /// The step of the operators' drain, if one is in progress.
    drain: Option<DrainState>,
}

/// The table's entry for one connection.
#[derive(Debug)]
struct Caller {
    state: Rc<ConnectionState>,
    /// Set once [`CallerTable::evict_one`] has chosen the connection. It is not chosen again.
    is_evicted: bool,
    /// Notified when the connection is to close.
    close: Rc<Notify>,
}

/// Tells whether the requests of a new connection are served, which requires a descriptor and memory for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The connection's requests are served.
    Accepted,
    /// The connection's first request is rejected, for this reason, and the connection closes after the response.
    RejectedEarly(EarlyRejection),
}

/// What the eviction of a connection is to free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionGain {
    /// A descriptor.
    Descriptor,
    /// Memory, of which a connection in a lingering close has none left.
    Memory,
}

/// A connection that was just added to the table.
#[derive(Debug)]
pub struct AddedCaller {
    /// Its number in the table.
    pub number: u64,
    /// Its state.
    pub state: Rc<ConnectionState>,
    /// Notified when the connection is to close.
    pub close: Rc<Notify>,
    /// The initial persistence: whether the connection stays open after its first response.
    pub persistence: Persistence,
}

/// The order in which connections are evicted. Within a rank, the connection that has been inactive longest is first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    /// No byte of a first request arrived within [`FIRST_REQUEST_GRACE`].
    NeverUsed,
    /// Idle for [`IDLE_GRACE`].
    LongIdle,
    /// A head is incomplete, and no byte of it arrived for [`HEAD_STALL_TIMEOUT`].
    StalledHead,
    /// Idle for less than [`IDLE_GRACE`]. Evicting it is still better than rejecting a new caller.
    RecentlyIdle,
    /// A request may be arriving.
    PossiblyActive,
}

impl Caller {
    /// Returns the connection's rank and the time since which it has been inactive. Returns `None` for a connection
    /// that is being answered, has already been evicted, or is not evicted for this gain.
    fn eviction_rank(&self, gain: EvictionGain, now: Instant) -> Option<(EvictionRank, Instant)> {
        let has_gain = gain == EvictionGain::Descriptor || !self.state.is_lingering();
        if self.is_evicted || !has_gain {
            return None;
        }
        let last_byte_at = self.state.last_byte_at();
        let ranked = match self.state.phase() {
            Phase::AwaitingFirstHead { since } if now >= since + FIRST_REQUEST_GRACE => {
                (EvictionRank::NeverUsed, since)
            }
            Phase::Idle { since } if now >= since + IDLE_GRACE => (EvictionRank::LongIdle, since),
            Phase::Idle { since } => (EvictionRank::RecentlyIdle, since),
            Phase::ReceivingRequest { .. } if now >= last_byte_at + HEAD_STALL_TIMEOUT => {
                (EvictionRank::StalledHead, last_byte_at)
            }
            Phase::AwaitingFirstHead { .. } | Phase::ReceivingRequest { .. } => {
                (EvictionRank::PossiblyActive, last_byte_at)
            }
            Phase::Answering | Phase::Streaming { .. } => return None,
        };
        let is_in_use = ranked.0 > EvictionRank::StalledHead;
        (gain == EvictionGain::Descriptor || !is_in_use).then_some(ranked)
    }
}

impl CallerTable {
    /// Adds a connection that was just accepted.
    pub fn add(&mut self, admission: Admission) -> AddedCaller {
        let number = self.next_number;
        self.next_number += 1;
        let (close, state) = (Rc::new(Notify::new()), ConnectionState::new());
        let caller = Caller {
            state: state.clone(),
            is_evicted: false,
            close: close.clone(),
        };
        self.connections.insert(number, caller);
        let closes_after_first_response =
            self.is_shutting_down || self.drain == Some(DrainState::ClosingIdle);
        let persistence = if closes_after_first_response || admission != Admission::Accepted {
            Persistence::Close
        } else {
            Persistence::KeepAlive
        };
        AddedCaller {
            number,
            state,
            close,
            persistence,
        }
    }

    /// Removes a connection that has closed.
    pub fn remove(&mut self, number: u64) {
        self.connections.remove(&number);
        if self.is_shutting_down && self.connections.is_empty() {
            self.all_closed.notify_one();
        }
    }

    /// Requests the closing of the connection that is first in the order of eviction. Returns false if none can be
    /// evicted. For its memory, only a connection is evicted that nobody is using: a caller that has none can still be
    /// answered with a rejection.
    pub fn evict_one(&mut self, gain: EvictionGain) -> bool {
        let now = Instant::now();
        let ranks = self
            .connections
            .iter()
            .filter_map(|(number, caller)| Some((caller.eviction_rank(gain, now)?, *number)));
        let Some((_, number)) = ranks.min() else {
            return false;
        };
        self.connections.get_mut(&number).is_some_and(|caller| {
            caller.is_evicted = true;
            caller.state.mark_closing_idle();
            caller.close.notify_one();
            true
        })
    }

    /// Begins a graceful shutdown, in which connections close when they are idle. Another call also closes those that
    /// were added since the previous one.
    pub fn begin_shutdown(&mut self) {
        self.is_shutting_down = true;
        self.notify_all_to_close();
    }

    /// Notifies all connections to close when they are idle.
    fn notify_all_to_close(&self) {
        for caller in self.connections.values() {
            caller.close.notify_one();
        }
    }

    /// Returns the step of the operators' drain, if one is in progress.
    pub fn drain_state(&self) -> Option<DrainState> {
        self.drain
    }

    /// Begins, advances or ends a drain.
    pub fn set_drain_state(&mut self, state: Option<DrainState>) {
        self.drain = state;
        if state == Some(DrainState::ClosingIdle) {
            self.notify_all_to_close();
        }
    }

    /// Stops accepting callers in this process, because another process accepts them from now on.
    pub fn suspend_accepting(&mut self) {
        self.accepted_elsewhere.send_replace(true);
    }

    /// Accepts callers in this process again, because the other process has ended or is about to end. Returns false if
    /// no other process accepted callers or this process is shutting down.
    pub fn resume_accepting(&mut self) -> bool {
        self.accepted_elsewhere.send_replace(false) && !self.is_shutting_down
    }

    /// Returns whether another process accepts callers.
    pub fn are_accepted_elsewhere(&self) -> bool {
        *self.accepted_elsewhere.borrow()
    }

    /// Returns a receiver that reports whether another process accepts callers.
    pub fn watch_accepted_elsewhere(&self) -> watch::Receiver<bool> {
        self.accepted_elsewhere.subscribe()
    }

    /// Returns whether connections close after their next response, which makes their callers connect to another
    /// process or sidecar.
    pub fn closes_after_responses(&self) -> bool {
        let is_draining = matches!(
            self.drain,
            Some(DrainState::ClosingAfterResponses | DrainState::ClosingIdle)
        );
        self.are_accepted_elsewhere() || is_draining
    }

    /// Returns whether graceful shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.is_shutting_down
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns the number of connections on which a response is being streamed.
    pub fn streaming(&self) -> usize {
        let phases = self.connections.values().map(|caller| caller.state.phase());
        phases
            .filter(|phase| matches!(phase, Phase::Streaming { .. }))
            .count()
    }

    /// Returns whether no connection is left.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns the [`Notify`] that is notified when the last connection has closed during a shutdown. All requests have
    /// been answered by then.
    pub fn all_closed(&self) -> Rc<Notify> {
        self.all_closed.clone()
    }
}

#[cfg(test)]
#[path = "table_tests.rs"]
mod tests;
