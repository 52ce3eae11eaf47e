//! The state of a caller's connection, shared by its reader, its writer, the service and the table of connections.
//!
//! [`Phase`] tracks the progress of requests and responses, and determines most deadlines. The following facts are not
//! part of it, because each of them outlasts a phase and can occur in several:
//!
//! - `write_blocked_since`: the client does not read what was written. The write timeout takes precedence over the
//!   deadline of the phase in [`ConnectionState::deadline`].
//! - `read_position`: the reader's position in the connection's bytes, and the end of the current request.
//! - `flushes`: a response that breaks off waits for the next flush.
//! - `has_peer_closed`: the client has sent FIN or a reset. hyper may still be answering.
//! - `persistence`: states whether the connection closes after the next response. Heads, bodies, shutdowns and drains set
//!   it.
//! - `has_unread_upload`: the body of an upload was not read to its end yet, so that the start of the next request is not
//!   known. A response closes the connection then, whatever `persistence` is.
//! - `head_error`: the reason why a head was rejected. It outlasts the phase because nothing after a rejected head is
//!   read as a request. A head that times out after it was forwarded to hyper is answered with this error, too.
//! - `is_closing_idle`: the connection closes unless its next request has already arrived. hyper closes it only between
//!   requests. Until then, the connection can be in any phase.
//! - `is_lingering`: all responses have been written, and the close waits until the client has read them.
//! - `is_pipelined`: the first bytes of the last head arrived before the response to the request before it was complete.
//! - `has_received_head`: selects [`Phase::Idle`] or [`Phase::AwaitingFirstHead`] after an error response.

use super::flush_counter::FlushCounter;
use super::head::HeadError;
use super::persistence::Persistence;
use super::phase::Phase;
use super::read_position::ReadPosition;
use crate::sidecar::sockets::WriteObserver;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;
use tokio::time::Instant;

/// The time within which the first head must be complete after the connection was accepted, and any head after its
/// first byte.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_100);
/// The time after which a connection that is idle between requests is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The time for which the first request of a new connection is assumed to be in transit.
pub const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(300);
/// The time for which a write may stay blocked before the connection is closed. A slow client takes many seconds to
/// empty the kernel's buffers, and nothing can be written during that time.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// Tells whether the body of a response is complete when the service returns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind {
    /// The body is complete.
    Complete,
    /// The body is streamed as the endpoint sends it, until [`ConnectionState::stream_ended`].
    Streamed,
}

/// The state of one caller's connection.
#[derive(Debug)]
pub struct ConnectionState {
    accepted_at: Instant,
    phase: Cell<Phase>,
    /// The time of acceptance, or of the last read from the socket apart from reads of forwarded bodies.
    last_byte_at: Cell<Instant>,
    has_received_head: Cell<bool>,
    is_pipelined: Cell<bool>,
    read_position: ReadPosition,
    /// Wakes the reader, which reads the next request only once the response is ready.
    reader_waker: RefCell<Option<Waker>>,
    head_error: Cell<Option<HeadError>>,
    persistence: Cell<Persistence>,
    has_unread_upload: Cell<bool>,
    has_peer_closed: Cell<bool>,
    write_blocked_since: Cell<Option<Instant>>,
    flushes: FlushCounter,
    is_closing_idle: Cell<bool>,
    is_lingering: Cell<bool>,
}

impl ConnectionState {
    /// Creates the state of a connection that was just accepted.
    pub fn new() -> Rc<Self> {
        let now = Instant::now();
        Rc::new(ConnectionState {
            accepted_at: now,
            phase: Cell::new(Phase::AwaitingFirstHead { since: now }),
            last_byte_at: Cell::new(now),
            has_received_head: Cell::new(false),
            is_pipelined: Cell::new(false),
            read_position: ReadPosition::default(),
            reader_waker: RefCell::new(None),
            head_error: Cell::new(None),
            persistence: Cell::new(Persistence::KeepAlive),
            has_unread_upload: Cell::new(false),
            has_peer_closed: Cell::new(false),
            write_blocked_since: Cell::new(None),
            flushes: FlushCounter::default(),
            is_closing_idle: Cell::new(false),
            is_lingering: Cell::new(false),
        })
    }

    /// Marks the connection as closing, with nothing left to write.
    pub fn mark_lingering(&self) {
        self.is_lingering.set(true);
    }

    /// Returns whether the connection is closing, with nothing left to write.
    pub fn is_lingering(&self) -> bool {
        self.is_lingering.get()
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Returns the time of acceptance, or of the last read from the socket apart from reads of forwarded bodies.
    pub fn last_byte_at(&self) -> Instant {
        self.last_byte_at.get()
    }

    /// Returns whether a byte of the next request has arrived and the service has not been called with it yet.
    pub fn is_receiving_head(&self) -> bool {
        self.phase.get().incoming_head().is_some()
    }

    /// Returns whether a forwarded request has no response yet.
    pub fn is_awaiting_response(&self) -> bool {
        self.phase.get().is_awaiting_response()
    }

    /// Returns whether the connection is new enough that its first request may still be in transit.
    pub fn is_awaiting_first_request(&self) -> bool {
        matches!(self.phase.get(), Phase::AwaitingFirstHead { .. })
            && Instant::now() < self.accepted_at + FIRST_REQUEST_GRACE
    }

    // ---- The reader's events --------------------------------------------------------------------------------

    /// Returns the reader's position in the connection's bytes.
    pub fn read_position(&self) -> &ReadPosition {
        &self.read_position
    }

    /// Records that the reader has read from the socket while it was not forwarding a body. Zero bytes mean that the
    /// client has sent FIN.
    pub fn bytes_received(&self, bytes: usize) {
        let now = Instant::now();
        self.last_byte_at.set(now);
        if bytes > 0 {
            self.start_head(now);
        }
    }

    /// Records that bytes of a head are there, which may be the first of it.
    fn start_head(&self, now: Instant) {
        let phase = self.phase.get();
        match phase {
            Phase::AwaitingFirstHead { .. } | Phase::Idle { .. } => self.is_pipelined.set(false),
            Phase::Streaming { next: None } => self.is_pipelined.set(true),
            _ => {}
        }
        self.phase.set(phase.head_started(now));
    }

    /// Records that the reader has reached the next request, some bytes of which have already arrived. Its head timeout
    /// starts now, because the reader did not process these bytes while the previous request was answered.
    pub fn next_head_started(&self) {
        self.start_head(Instant::now());
        self.is_pipelined.set(true);
    }

    /// Returns whether the first bytes of the last head arrived before the response to the request before it was
    /// complete. The client may have closed the connection before it had that response.
    pub fn is_pipelined(&self) -> bool {
        self.is_pipelined.get()
    }

    /// Records that all bytes of a head have arrived, valid or not.
    pub fn head_completed(&self) {
        self.has_received_head.set(true);
    }

    /// Records that the reader forwards the head to hyper.
    pub fn head_forwarded(&self) {
        self.phase.set(self.phase.get().head_forwarded());
    }

    /// Records that the reader has rejected the head. The reader forwards a replacement, which the service answers with
    /// the error, and reads nothing after it.
    pub fn head_rejected(&self, error: HeadError) {
        self.head_error.set(Some(error));
        self.persistence.set(Persistence::Close);
    }

    /// Registers the reader's waker, which is woken when the response is ready.
    pub fn wake_reader_when_answered(&self, reader: &Waker) {
        *self.reader_waker.borrow_mut() = Some(reader.clone());
    }

    /// Records that the client has sent FIN or has reset the connection.
    pub fn peer_closed(&self) {
        self.has_peer_closed.set(true);
    }

    /// Returns whether the client has sent FIN or has reset the connection.
    pub fn has_peer_closed(&self) -> bool {
        self.has_peer_closed.get()
    }

    // ---- The service's events -------------------------------------------------------------------------------

    /// Records that hyper has called the service with a request. Returns the time at which its head started to arrive.
    pub fn request_started(&self) -> Instant {
        let head = self.phase.replace(Phase::Answering).incoming_head();
        head.map_or_else(Instant::now, |head| head.since)
    }

    /// Records that the service has a response. The next request may then be read.
    pub fn response_ready(&self, kind: ResponseKind) {
        match kind {
            ResponseKind::Complete => self.end_response(),
            ResponseKind::Streamed => self.phase.set(Phase::Streaming { next: None }),
        }
        if let Some(reader) = self.reader_waker.take() {
            reader.wake();
        }
    }

    /// Records that the body of a streamed response has ended, or that hyper has dropped it.
    pub fn stream_ended(&self) {
        if matches!(self.phase.get(), Phase::Streaming { .. }) {
            self.end_response();
        }
    }

    /// Returns the count of the connection's flushes.
    pub fn flushes(&self) -> &FlushCounter {
        &self.flushes
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

    /// Returns the reason why the head was rejected, if it was. The service's request is then the replacement of that
    /// head.
    pub fn head_error(&self) -> Option<HeadError> {
        self.head_error.get()
    }

    /// Returns whether the connection stays open after the response.
    pub fn persistence(&self) -> Persistence {
        if self.has_unread_upload.get() {
            Persistence::Close
        } else {
            self.persistence.get()
        }
    }

    /// Sets whether the body of an upload was not read to its end yet.
    pub fn set_unread_upload(&self, is_unread: bool) {
        self.has_unread_upload.set(is_unread);
    }

    /// Sets whether the connection stays open after the response.
    pub fn set_persistence(&self, persistence: Persistence) {
        self.persistence.set(persistence);
    }

    // ---- Deadlines and closing ------------------------------------------------------------------------------

    /// Returns the time by which the first head must be complete.
    pub fn first_head_deadline(&self) -> Instant {
        self.accepted_at + HEAD_TIMEOUT
    }

    /// Returns the deadline of a blocked write if there is one, and otherwise that of the current phase.
    ///
    /// Returns `None` while a request is answered, because the request has its own deadline.
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

    /// Records that the head was not complete in time. The reader rejects it when it is next polled.
    pub fn head_timed_out(&self) {
        self.head_error.set(Some(HeadError::TooSlow));
    }

    /// Marks the connection as closing, because it was idle for too long or its descriptor is needed. Such a connection
    /// needs no lingering close, because no received bytes are left unread on it.
    pub fn mark_closing_idle(&self) {
        self.is_closing_idle.set(true);
    }

    /// Returns whether [`Self::mark_closing_idle`] has been called.
    pub fn is_closing_idle(&self) -> bool {
        self.is_closing_idle.get()
    }

    /// Returns whether writes are blocked because the client has not read what was written before.
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

    /// hyper flushes only after it has passed all of its buffered bytes to the socket.
    fn on_flush(&self) {
        self.flushes.on_flush();
    }
}

#[cfg(test)]
#[path = "connection_state_tests.rs"]
mod tests;
