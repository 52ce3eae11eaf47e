//! The state of a caller's connection, shared by its reader, its writer, the service and the table of connections.
//!
//! [`Phase`] says what the connection does; all deadlines follow from it. These facts stay separate, as they outlast a
//! phase and combine with several:
//!
//! - `write_blocked_since`: the client reads nothing. It concerns the writing direction alone, and takes precedence in
//!   [`ConnectionState::deadline`].
//! - `has_peer_closed`: the client has sent FIN or a reset. hyper may still be answering.
//! - `persistence`: whether the connection ends with the next response. Heads, bodies, uploads and shutdowns set it, and a
//!   finished upload resets it.
//! - `head_error`: why a head was rejected. It outlives the phase: nothing after a rejected head is read as a request. A
//!   head that times out after hyper has been given it is answered with the error, too.
//! - `is_closing_idle`: the connection closes unless its next request is already there. hyper ends it between requests, so
//!   that it coexists with every phase until then.
//! - `has_received_head`: decides between [`Phase::Idle`] and [`Phase::AwaitingFirstHead`] after an error response.

use super::head::HeadError;
use super::persistence::Persistence;
use super::phase::Phase;
use crate::sidecar::sockets::WriteObserver;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;
use tokio::time::Instant;

/// Limit from a connection's start to its first head, and from a head's first byte to its last.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_100);
/// A connection that is idle between requests for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// For so long after its start a connection may have its first request on the way.
pub const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(300);
/// Limit for a client to read what was written to it. The kernel's buffers take a slow client many seconds to read, in
/// which no more can be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// Whether the service returns a response with all of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// Its body is complete.
    Complete,
    /// Its body follows as the endpoint sends it, until [`ConnectionState::stream_ended`].
    Streamed,
}

/// The state of one caller's connection.
#[derive(Debug)]
pub struct ConnectionState {
    accepted_at: Instant,
    phase: Cell<Phase>,
    /// When the last byte of an awaited head came.
    last_byte_at: Cell<Instant>,
    has_received_head: Cell<bool>,
    /// The reader, while it waits for the response before it reads on.
    reader: RefCell<Option<Waker>>,
    head_error: Cell<Option<HeadError>>,
    persistence: Cell<Persistence>,
    has_peer_closed: Cell<bool>,
    write_blocked_since: Cell<Option<Instant>>,
    is_closing_idle: Cell<bool>,
}

impl ConnectionState {
    /// The state of a connection that was just accepted.
    pub fn new() -> Rc<Self> {
        let now = Instant::now();
        Rc::new(ConnectionState {
            accepted_at: now,
            phase: Cell::new(Phase::AwaitingFirstHead { since: now }),
            last_byte_at: Cell::new(now),
            has_received_head: Cell::new(false),
            reader: RefCell::new(None),
            head_error: Cell::new(None),
            persistence: Cell::new(Persistence::KeepAlive),
            has_peer_closed: Cell::new(false),
            write_blocked_since: Cell::new(None),
            is_closing_idle: Cell::new(false),
        })
    }

    /// What the connection does now.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// When the last byte of an awaited head came.
    pub fn last_byte_at(&self) -> Instant {
        self.last_byte_at.get()
    }

    /// Returns whether a byte of a request has come that the service has not seen.
    pub fn is_receiving_head(&self) -> bool {
        self.phase.get().incoming_head().is_some()
    }

    /// Returns whether a forwarded request has no response yet.
    pub fn is_awaiting_response(&self) -> bool {
        self.phase.get().is_awaiting_response()
    }

    /// Returns whether the connection was accepted so short a time ago that its first request may be on the way.
    pub fn is_awaiting_first_request(&self) -> bool {
        matches!(self.phase.get(), Phase::AwaitingFirstHead { .. })
            && Instant::now() < self.accepted_at + FIRST_REQUEST_GRACE
    }

    // ---- The reader's events --------------------------------------------------------------------------------

    /// The reader has read from the socket while it was not forwarding a body; no bytes mean the client's FIN.
    pub fn received(&self, bytes: usize) {
        let now = Instant::now();
        self.last_byte_at.set(now);
        if bytes > 0 {
            self.phase.set(self.phase.get().head_started(now));
        }
    }

    /// The reader gets to the next request, of which bytes have come already. They were not read while the last one was
    /// answered, so that its time counts from now on.
    pub fn next_head_started(&self) {
        self.phase
            .set(self.phase.get().head_started(Instant::now()));
    }

    /// All bytes of a head have come, whether or not it is valid.
    pub fn head_completed(&self) {
        self.has_received_head.set(true);
    }

    /// The reader hands the head on to hyper.
    pub fn head_forwarded(&self) {
        self.phase.set(self.phase.get().head_forwarded());
    }

    /// The reader replaces the head, and reads nothing after it. The service answers the replacement with the error.
    pub fn head_rejected(&self, error: HeadError) {
        self.head_error.set(Some(error));
        self.persistence.set(Persistence::Close);
    }

    /// Wakes the reader when the response is ready.
    pub fn wake_reader_when_answered(&self, reader: &Waker) {
        *self.reader.borrow_mut() = Some(reader.clone());
    }

    /// The client has sent FIN, or has reset the connection.
    pub fn peer_closed(&self) {
        self.has_peer_closed.set(true);
    }

    /// Returns whether the client has sent FIN, or has reset the connection.
    pub fn has_peer_closed(&self) -> bool {
        self.has_peer_closed.get()
    }

    // ---- The service's events -------------------------------------------------------------------------------

    /// hyper has called the service with a request. Returns when its head began to come.
    pub fn request_started(&self) -> Instant {
        let head = self.phase.replace(Phase::Answering).incoming_head();
        head.map_or_else(Instant::now, |head| head.since)
    }

    /// The service has a response: the next request may be read.
    pub fn response_ready(&self, kind: ResponseKind) {
        match kind {
            ResponseKind::Complete => self.end_response(),
            ResponseKind::Streamed => self.phase.set(Phase::Streaming { next: None }),
        }
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// The body of a streamed response has ended, or hyper has dropped it.
    pub fn stream_ended(&self) {
        if matches!(self.phase.get(), Phase::Streaming { .. }) {
            self.end_response();
        }
    }

    fn end_response(&self) {
        let idle_phase = |since| {
            if self.has_received_head.get() {
                Phase::Idle { since }
            } else {
                Phase::AwaitingFirstHead { since }
            }
        };
        let phase = self.phase.get().response_ended(Instant::now(), idle_phase);
        self.phase.set(phase);
    }

    /// Why the head was rejected that the service's request replaces.
    pub fn head_error(&self) -> Option<HeadError> {
        self.head_error.get()
    }

    /// Returns whether the connection outlives the response.
    pub fn persistence(&self) -> Persistence {
        self.persistence.get()
    }

    /// Decides whether the connection outlives the response.
    pub fn set_persistence(&self, persistence: Persistence) {
        self.persistence.set(persistence);
    }

    // ---- Deadlines and closing ------------------------------------------------------------------------------

    /// When the first head must be complete.
    pub fn first_head_deadline(&self) -> Instant {
        self.accepted_at + HEAD_TIMEOUT
    }

    /// When the time of the present phase is up. None while a request is answered, which has a deadline of its own, unless
    /// the client does not read the response.
    pub fn deadline(&self) -> Option<Instant> {
        if let Some(since) = self.write_blocked_since.get() {
            return Some(since + WRITE_TIMEOUT);
        }
        if self.is_closing_idle.get() {
            return None;
        }
        match self.phase.get() {
            Phase::AwaitingFirstHead { since } => Some(match self.persistence.get() {
                Persistence::KeepAlive => since + HEAD_TIMEOUT,
                Persistence::Close => self.accepted_at + FIRST_REQUEST_GRACE,
            }),
            Phase::Idle { since } => Some(since + IDLE_TIMEOUT),
            Phase::ReceivingRequest { head, .. } => {
                let is_rejected = self.head_error.get().is_some();
                (!is_rejected).then_some(head.since + HEAD_TIMEOUT)
            }
            Phase::Answering | Phase::Streaming { .. } => None,
        }
    }

    /// The head was not complete in time. The reader rejects it when it is polled next.
    pub fn head_timed_out(&self) {
        self.head_error.set(Some(HeadError::TooSlow));
    }

    /// Closes the connection as idle: it was idle for too long, or its descriptor is needed. Nothing on it is left to be
    /// read.
    pub fn close_idle(&self) {
        self.is_closing_idle.set(true);
    }

    /// Returns whether the connection was closed as idle.
    pub fn is_closing_idle(&self) -> bool {
        self.is_closing_idle.get()
    }

    /// Returns whether writes wait for the client to read what was written before.
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked_since.get().is_some()
    }
}

impl WriteObserver for ConnectionState {
    fn on_write(&self, result: &Poll<io::Result<usize>>) {
        let blocked_since = match result {
            Poll::Ready(_) => None,
            Poll::Pending => Some(self.write_blocked_since.get().unwrap_or_else(Instant::now)),
        };
        self.write_blocked_since.set(blocked_since);
    }
}

#[cfg(test)]
#[path = "connection_state_tests.rs"]
mod tests;
