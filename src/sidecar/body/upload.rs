//! Callers' bodies: received whole, or as far as they are kept.

use super::limits::{MAX_BODY, MAX_BUFFERED_BODY};
use super::upload_deadline::UploadDeadline;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// A body that goes on as it comes may pause so long, whoever is slow.
const UPLOAD_PAUSE: Duration = Duration::from_secs(6);

/// What is wrong with a caller's body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UploadError {
    /// It did not come at the least pace.
    TooSlow,
    /// It is over [`MAX_BODY`].
    TooLarge,
    /// It broke off.
    Incomplete,
}

/// A caller's body as far as it is kept: all of it, or its beginning and what is to come.
pub struct ReceivedRequestBody {
    /// All of it, or its beginning.
    pub kept: Bytes,
    /// What is to come.
    pub upload: Option<Rc<Upload>>,
}

/// Receives a caller's body until it is whole or no more of it can be kept.
///
/// # Errors
/// What is wrong with it.
pub async fn receive_request_body(
    mut body: Incoming,
    begun: Instant,
) -> Result<ReceivedRequestBody, UploadError> {
    let length = body.size_hint().exact();
    if body.size_hint().lower() > MAX_BODY {
        return Err(UploadError::TooLarge);
    }
    let mut pace = UploadDeadline::new(begun);
    let mut kept = BytesMut::new();
    loop {
        let data = match timeout_at(pace.wait(), body.frame()).await {
            Err(_) => return Err(UploadError::TooSlow),
            Ok(None) => {
                return Ok(ReceivedRequestBody {
                    kept: kept.freeze(),
                    upload: None,
                });
            }
            Ok(Some(Err(_))) => return Err(UploadError::Incomplete),
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(), // trailers go no further
        };
        pace.received(data.len());
        kept.extend_from_slice(&data);
        if kept.len() > MAX_BUFFERED_BODY
            || length.is_some_and(|length| length > MAX_BUFFERED_BODY as u64)
        {
            let upload = Upload::new(RemainingUpload { body, pace }, length, kept.len() as u64);
            return Ok(ReceivedRequestBody {
                kept: kept.freeze(),
                upload: Some(Rc::new(upload)),
            });
        }
    }
}

/// A body that is too large to be kept, and goes on to one endpoint as it comes.
pub struct Upload {
    /// Until an attempt has taken it: from then on no other can be made.
    rest: RefCell<Option<RemainingUpload>>,
    length: Option<u64>,
    received: Cell<u64>,
    /// When the last piece went on.
    last_piece: Cell<Instant>,
    end: Cell<Option<UploadEnd>>,
    ended: Notify,
}

/// What is to come of an upload.
pub struct RemainingUpload {
    /// The rest of the body.
    pub body: Incoming,
    /// How long the caller may take over it.
    pub pace: UploadDeadline,
}

/// How an upload ended, and when.
#[derive(Clone, Copy)]
struct UploadEnd {
    result: Result<(), UploadError>,
    at: Instant,
}

impl Upload {
    fn new(rest: RemainingUpload, length: Option<u64>, received: u64) -> Self {
        Upload {
            rest: RefCell::new(Some(rest)),
            length,
            received: Cell::new(received),
            last_piece: Cell::new(Instant::now()),
            end: Cell::new(None),
            ended: Notify::new(),
        }
    }

    /// Whether some of it has gone on that is kept nowhere.
    pub fn is_consumed(&self) -> bool {
        self.rest.borrow().is_none()
    }

    /// Takes what is to come, for the one attempt that may.
    pub fn take_rest(&self) -> Option<RemainingUpload> {
        self.rest.borrow_mut().take()
    }

    /// The length that it declares.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether all that it declares has come.
    pub fn has_declared_length(&self) -> bool {
        self.length == Some(self.received.get())
    }

    /// When its last byte had come.
    pub fn completed_at(&self) -> Option<Instant> {
        self.end
            .get()
            .filter(|end| end.result.is_ok())
            .map(|end| end.at)
    }

    /// Whether it has ended, whole or not.
    pub fn has_ended(&self) -> bool {
        self.end.get().is_some()
    }

    /// An attempt begins with it: pauses count from now.
    pub fn attempt_begins(&self) {
        self.last_piece.set(Instant::now());
    }

    /// So many bytes have come and go on.
    ///
    /// # Errors
    /// It is too large now.
    pub fn passed(&self, bytes: usize) -> Result<(), UploadError> {
        self.last_piece.set(Instant::now());
        self.received.set(self.received.get() + bytes as u64);
        if self.received.get() <= MAX_BODY {
            Ok(())
        } else {
            Err(UploadError::TooLarge)
        }
    }

    /// It has ended.
    pub fn set_ended(&self, result: Result<(), UploadError>) {
        self.end.set(Some(UploadEnd {
            result,
            at: Instant::now(),
        }));
        self.ended.notify_waiters();
    }

    /// When something that may take so long after the body's last byte is overdue, as things stand.
    fn due(&self, after: Duration) -> Instant {
        match self.completed_at() {
            Some(completed_at) => completed_at + after,
            None => self.last_piece.get() + after.max(UPLOAD_PAUSE),
        }
    }

    /// What comes of some work before it is overdue.
    pub async fn within<T>(&self, after: Duration, work: impl Future<Output = T>) -> Option<T> {
        let mut work = std::pin::pin!(work);
        loop {
            let due = self.due(after);
            match timeout_at(due, work.as_mut()).await {
                Ok(done) => return Some(done),
                Err(_) if self.due(after) > due => {}
                Err(_) => return None,
            }
        }
    }

    /// Waits for its end.
    ///
    /// # Errors
    /// What was wrong with it.
    pub async fn end(&self) -> Result<(), UploadError> {
        loop {
            let ended = self.ended.notified();
            if let Some(end) = self.end.get() {
                return end.result;
            }
            ended.await;
        }
    }
}
