//! The callers' connections, and which of them have to go.

use super::connection_state::{ConnectionState, FIRST_REQUEST_GRACE};
use super::drain_state::DrainState;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// A connection may stand so long between requests before it makes room for others.
const SPARED_IDLE: Duration = Duration::from_secs(2);
/// A slow caller sends a piece of its head more often than that; others send half of one and no more.
const SILENT: Duration = Duration::from_millis(700);

/// The callers' connections.
#[derive(Default)]
pub struct CallerTable {
    connections: HashMap<u64, Caller>,
    next_number: u64,
    /// The sidecar stops: each connection closes once it is between requests.
    is_shutting_down: bool,
    all_closed: Rc<Notify>,
    /// Another process accepts callers: each connection here closes with its next answer.
    accepted_elsewhere: watch::Sender<bool>,
    /// The operators have the sidecar emptied, and how far that is.
    drain: Option<DrainState>,
}

struct Caller {
    state: Rc<ConnectionState>,
    /// It was asked to make room, once.
    is_asked_to_close: bool,
    close: Rc<Notify>,
}

/// A connection that was just accepted.
pub struct AcceptedCaller {
    /// Its number in the table.
    pub number: u64,
    /// How it stands.
    pub state: Rc<ConnectionState>,
    /// Tells it to close.
    pub close: Rc<Notify>,
    /// It closes with its first answer.
    pub is_for_one_request: bool,
}

/// Which connections make room first. Of each kind it is the one of which nothing was heard longest.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum ClosingRank {
    NeverAsked,
    LongIdle,
    SilentInHead,
    Idle,
    /// Its request may be on the way.
    MayBeAsking,
}

impl Caller {
    fn closing_rank(&self, now: Instant) -> Option<(ClosingRank, Instant)> {
        let idle_since = self
            .state
            .idle_since
            .get()
            .filter(|_| !self.is_asked_to_close)?;
        let last_byte_at = self.state.last_byte_at.get();
        let is_in_head = self.state.head_since.get().is_some();
        Some(match (is_in_head, self.state.has_received_head.get()) {
            (false, false) if now >= idle_since + FIRST_REQUEST_GRACE => {
                (ClosingRank::NeverAsked, idle_since)
            }
            (false, true) if now >= idle_since + SPARED_IDLE => (ClosingRank::LongIdle, idle_since),
            (true, _) if now >= last_byte_at + SILENT => (ClosingRank::SilentInHead, last_byte_at),
            (false, true) => (ClosingRank::Idle, idle_since), // better than to turn a caller away
            (true, _) | (false, false) => (ClosingRank::MayBeAsking, last_byte_at),
        })
    }
}

impl CallerTable {
    /// Adds a connection that was just accepted.
    pub fn add(&mut self, is_rejected_early: bool) -> AcceptedCaller {
        let number = self.next_number;
        self.next_number += 1;
        let (close, state) = (Rc::new(Notify::new()), ConnectionState::new());
        let caller = Caller {
            state: state.clone(),
            is_asked_to_close: false,
            close: close.clone(),
        };
        self.connections.insert(number, caller);
        let is_empty = self.drain == Some(DrainState::ClosingIdle);
        let is_for_one_request = self.is_shutting_down || is_rejected_early || is_empty;
        AcceptedCaller {
            number,
            state,
            close,
            is_for_one_request,
        }
    }

    /// Removes a connection that has closed.
    pub fn remove(&mut self, number: u64) {
        self.connections.remove(&number);
        if self.is_shutting_down && self.connections.is_empty() {
            self.all_closed.notify_one();
        }
    }

    /// Asks one connection to make room; false where all have requests open.
    pub fn evict_one(&mut self) -> bool {
        let now = Instant::now();
        let ranks = self
            .connections
            .iter()
            .filter_map(|(n, c)| Some((c.closing_rank(now)?, *n)));
        let Some((_, number)) = ranks.min() else {
            return false;
        };
        self.connections.get_mut(&number).is_some_and(|caller| {
            caller.is_asked_to_close = true;
            caller.state.is_closing_idle.set(true);
            caller.close.notify_one();
            true
        })
    }

    /// From now on connections close between requests.
    pub fn begin_shutdown(&mut self) {
        self.is_shutting_down = true;
        self.close_idle();
    }

    fn close_idle(&mut self) {
        self.connections
            .values()
            .for_each(|caller| caller.close.notify_one());
    }

    /// How far a drain is, if there is one.
    pub fn drain_state(&self) -> Option<DrainState> {
        self.drain
    }

    /// Begins, moves on or ends a drain.
    pub fn set_drain_state(&mut self, state: Option<DrainState>) {
        self.drain = state;
        if state == Some(DrainState::ClosingIdle) {
            self.close_idle();
        }
    }

    /// Another process accepts callers from now on.
    pub fn suspend_accepting(&mut self) {
        self.accepted_elsewhere.send_replace(true);
    }

    /// That process is gone, or about to be; true where callers are accepted here again.
    pub fn resume_accepting(&mut self) -> bool {
        self.accepted_elsewhere.send_replace(false) && !self.is_shutting_down
    }

    /// Whether another process accepts callers.
    pub fn are_accepted_elsewhere(&self) -> bool {
        *self.accepted_elsewhere.borrow()
    }

    /// Tells whenever that changes.
    pub fn watch_accepted_elsewhere(&self) -> watch::Receiver<bool> {
        self.accepted_elsewhere.subscribe()
    }

    /// Whether a connection closes with its answer, so that its caller comes again elsewhere.
    pub fn close_after_responses(&self) -> bool {
        let is_draining = matches!(
            self.drain,
            Some(DrainState::ClosingAfterResponses | DrainState::ClosingIdle)
        );
        self.are_accepted_elsewhere() || is_draining
    }

    /// Whether connections close between requests.
    pub fn are_shutting_down(&self) -> bool {
        self.is_shutting_down
    }

    /// Whether no connection is left.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Tells, once stopping, that the last connection has closed; all that was taken is answered then.
    pub fn all_closed(&self) -> Rc<Notify> {
        self.all_closed.clone()
    }
}
