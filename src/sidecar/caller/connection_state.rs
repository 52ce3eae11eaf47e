//! How a caller's connection stands, for those that must tell silence from work.

use crate::sidecar::sockets::WriteObserver;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;
use tokio::time::Instant;

/// From a connection's start to its first head, and from a head's first byte to its last.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2_100);
/// A connection may stand so long between requests before it is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// The first request of a new connection is on its way for so long at the most.
pub const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(300);
/// A caller may leave what has been written to it unread for so long. What the kernel holds of it takes a slow one many
/// seconds, in which no more can be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a head is not handed on. Nothing after it is read as a request.
#[derive(Clone, Copy, PartialEq)]
pub enum HeadError {
    /// Where its body ends depends on who reads it.
    Framing,
    /// It is over the longest head.
    TooLong,
    /// It did not come in time.
    TooSlow,
}

/// A connection's standing.
pub struct ConnectionState {
    /// When it was accepted.
    pub accepted_at: Instant,
    /// Since when it has been between requests.
    pub idle_since: Cell<Option<Instant>>,
    /// When the first byte of the request came that the service has not seen yet.
    pub head_since: Cell<Option<Instant>>,
    /// When the last byte came of a head that was awaited.
    pub last_byte_at: Cell<Instant>,
    /// A whole head has come on it.
    pub has_received_head: Cell<bool>,
    /// A head has gone on to the service, which has not answered it yet.
    is_answering: Cell<bool>,
    /// Who waits for that answer before reading on.
    reader: RefCell<Option<Waker>>,
    /// What the service answers the head that stands in for a bad one with.
    pub head_error: Cell<Option<HeadError>>,
    /// The connection ends with the request that is being answered.
    pub is_last_request: Cell<bool>,
    /// The other side has sent its end.
    pub peer_has_ended: Cell<bool>,
    /// Since when nothing could be written to it, as the other side reads nothing.
    blocked_since: Cell<Option<Instant>>,
    /// It was closed for standing idle, or to make room: there is nothing to be read on it.
    pub is_closing_idle: Cell<bool>,
}

impl ConnectionState {
    /// A connection that was just accepted.
    pub fn new() -> Rc<Self> {
        let now = Instant::now();
        Rc::new(ConnectionState {
            accepted_at: now,
            idle_since: Cell::new(Some(now)),
            head_since: Cell::new(None),
            last_byte_at: Cell::new(now),
            has_received_head: Cell::new(false),
            is_answering: Cell::new(false),
            reader: RefCell::new(None),
            head_error: Cell::new(None),
            is_last_request: Cell::new(false),
            peer_has_ended: Cell::new(false),
            blocked_since: Cell::new(None),
            is_closing_idle: Cell::new(false),
        })
    }

    /// Whether a request is being answered.
    pub fn is_answering(&self) -> bool {
        self.is_answering.get()
    }

    /// A head goes on to the service.
    pub fn set_answering(&self, is_answering: bool) {
        self.is_answering.set(is_answering);
    }

    /// Has the reader woken when the request is answered.
    pub fn wake_reader_when_answered(&self, reader: &Waker) {
        *self.reader.borrow_mut() = Some(reader.clone());
    }

    /// The service has an answer: the next request may be read.
    pub fn answered(&self) {
        self.is_answering.set(false);
        self.reader.take().into_iter().for_each(Waker::wake);
    }

    /// The connection is between requests again.
    pub fn set_idle(&self) {
        self.idle_since.set(Some(Instant::now()));
    }

    /// Bytes came while a head was awaited, or none did.
    pub fn received(&self, bytes: usize) {
        self.last_byte_at.set(Instant::now());
        if bytes > 0 && self.head_since.get().is_none() && !self.is_answering.get() {
            self.head_since.set(Some(Instant::now()));
        }
    }

    /// Whether it was accepted so short a time ago that its first request may be on its way.
    pub fn is_awaiting_first_request(&self) -> bool {
        !self.has_received_head.get() && Instant::now() < self.accepted_at + FIRST_REQUEST_GRACE
    }

    /// Whether the other side leaves unread what was written.
    pub fn is_blocked(&self) -> bool {
        self.blocked_since.get().is_some()
    }

    /// When the first head has to have come.
    pub fn first_head_deadline(&self) -> Instant {
        self.accepted_at + HEAD_TIMEOUT
    }

    /// When the time for it is over, as things stand; never while a request is open, which has its own time, but where its
    /// answer is not read.
    pub fn deadline(&self) -> Option<Instant> {
        if let Some(since) = self.blocked_since.get() {
            return Some(since + WRITE_TIMEOUT);
        }
        let idle_since = self
            .idle_since
            .get()
            .filter(|_| !self.is_closing_idle.get())?;
        match self.head_since.get() {
            Some(_) if self.head_error.get().is_some() => None,
            Some(begun) => Some(begun + HEAD_TIMEOUT),
            None if self.has_received_head.get() => Some(idle_since + IDLE_TIMEOUT),
            None if self.is_last_request.get() => Some(self.accepted_at + FIRST_REQUEST_GRACE),
            None => Some(idle_since + HEAD_TIMEOUT),
        }
    }
}

impl WriteObserver for ConnectionState {
    fn on_write(&self, result: &Poll<io::Result<usize>>) {
        let blocked_since = if result.is_ready() {
            None
        } else {
            Some(self.blocked_since.get().unwrap_or_else(Instant::now))
        };
        self.blocked_since.set(blocked_since);
    }
}
