//! The callers' connections, and which of them have to go.

use super::drain_state::DrainState;
use super::traffic::{FIRST_REQUEST_TIME, Traffic};
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
    is_stopping: bool,
    all_closed: Rc<Notify>,
    /// Another process accepts callers: each connection here closes with its next answer.
    accepted_elsewhere: watch::Sender<bool>,
    /// The operators have the sidecar emptied, and how far that is.
    drain: Option<DrainState>,
}

struct Caller {
    traffic: Rc<Traffic>,
    /// It was asked to make room, once.
    is_asked_to_close: bool,
    close: Rc<Notify>,
}

/// A connection that was just accepted.
pub struct AcceptedCaller {
    /// Its number in the table.
    pub number: u64,
    /// How it stands.
    pub traffic: Rc<Traffic>,
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
            .traffic
            .idle_since
            .get()
            .filter(|_| !self.is_asked_to_close)?;
        let last_byte_at = self.traffic.last_byte_at.get();
        let is_in_head = self.traffic.head_since.get().is_some();
        Some(match (is_in_head, self.traffic.has_asked.get()) {
            (false, false) if now >= idle_since + FIRST_REQUEST_TIME => {
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
        let (close, traffic) = (Rc::new(Notify::new()), Traffic::new());
        let caller = Caller {
            traffic: traffic.clone(),
            is_asked_to_close: false,
            close: close.clone(),
        };
        self.connections.insert(number, caller);
        let is_empty = self.drain == Some(DrainState::Empty);
        let is_for_one_request = self.is_stopping || is_rejected_early || is_empty;
        AcceptedCaller {
            number,
            traffic,
            close,
            is_for_one_request,
        }
    }

    /// Removes a connection that has closed.
    pub fn remove(&mut self, number: u64) {
        self.connections.remove(&number);
        if self.is_stopping && self.connections.is_empty() {
            self.all_closed.notify_one();
        }
    }

    /// Asks one connection to make room; false where all have requests open.
    pub fn make_room(&mut self) -> bool {
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
            caller.traffic.is_closed_idle.set(true);
            caller.close.notify_one();
            true
        })
    }

    /// From now on connections close between requests.
    pub fn stop(&mut self) {
        self.is_stopping = true;
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
        if state == Some(DrainState::Empty) {
            self.close_idle();
        }
    }

    /// Another process accepts callers from now on.
    pub fn hand_over(&mut self) {
        self.accepted_elsewhere.send_replace(true);
    }

    /// That process is gone, or about to be; true where callers are accepted here again.
    pub fn take_back(&mut self) -> bool {
        self.accepted_elsewhere.send_replace(false) && !self.is_stopping
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
    pub fn are_sent_away(&self) -> bool {
        let is_draining = matches!(self.drain, Some(DrainState::Leaving | DrainState::Empty));
        self.are_accepted_elsewhere() || is_draining
    }

    /// Whether connections close between requests.
    pub fn are_stopped(&self) -> bool {
        self.is_stopping
    }

    /// Whether no connection is left.
    pub fn are_closed(&self) -> bool {
        self.connections.is_empty()
    }

    /// Tells, once stopping, that the last connection has closed; all that was taken is answered then.
    pub fn all_closed(&self) -> Rc<Notify> {
        self.all_closed.clone()
    }
}
