//! Receiving clients' request bodies: completely, or as far as they are buffered.

use super::error::UploadError;
use super::limits::{MAX_BODY, exceeds_buffer};
use super::upload_deadline::UploadDeadline;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// How long a streamed request body may pause, whether the client or the endpoint is slow.
const MAX_PAUSE: Duration = Duration::from_secs(6);

/// A request body as far as it has been received.
#[derive(Debug)]
pub struct ReceivedRequestBody {
    /// All of it, or its beginning where there is an upload.
    pub buffered: Bytes,
    /// The rest of a body that is too large to be buffered.
    pub upload: Option<Rc<Upload>>,
}

/// Receives a request body until it is complete or too large to be buffered. `started_at` is when the request's first
/// byte arrived.
///
/// # Errors
/// Why the body cannot be received.
pub async fn receive_request_body(
    mut body: Incoming,
    started_at: Instant,
) -> Result<ReceivedRequestBody, UploadError> {
    let length = body.size_hint().exact();
    if body.size_hint().lower() > MAX_BODY {
        return Err(UploadError::TooLarge);
    }
    let mut deadline = UploadDeadline::new(started_at);
    let mut buffered = BytesMut::new();
    loop {
        let data = match timeout_at(deadline.resume(), body.frame()).await {
            Err(_) => return Err(UploadError::TooSlow),
            Ok(None) => {
                return Ok(ReceivedRequestBody {
                    buffered: buffered.freeze(),
                    upload: None,
                });
            }
            Ok(Some(Err(_))) => return Err(UploadError::Incomplete),
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(), // trailers are not forwarded
        };
        deadline.on_received(data.len());
        buffered.extend_from_slice(&data);
        if exceeds_buffer(length, buffered.len()) {
            let remaining = RemainingUpload { body, deadline };
            let upload = Upload::new(remaining, length, buffered.len() as u64);
            return Ok(ReceivedRequestBody {
                buffered: buffered.freeze(),
                upload: Some(Rc::new(upload)),
            });
        }
    }
}

/// A request body that is too large to be buffered and is streamed to one endpoint. The attempt that streams it and the
/// task that waits for the response share it.
#[derive(Debug)]
pub struct Upload {
    /// Taken by the first attempt that streams the body; no other attempt can follow it.
    remaining: RefCell<Option<RemainingUpload>>,
    length: Option<u64>,
    received: Cell<u64>,
    last_progress_at: Cell<Instant>,
    finish: Cell<Option<UploadFinish>>,
    finished: Notify,
}

/// What is still to come of an upload.
#[derive(Debug)]
pub struct RemainingUpload {
    /// The rest of the body.
    pub body: Incoming,
    /// By when the client has to send more of it.
    pub deadline: UploadDeadline,
}

/// How and when an upload finished.
#[derive(Clone, Copy, Debug)]
struct UploadFinish {
    result: Result<(), UploadError>,
    at: Instant,
}

impl Upload {
    fn new(remaining: RemainingUpload, length: Option<u64>, received: u64) -> Self {
        Upload {
            remaining: RefCell::new(Some(remaining)),
            length,
            received: Cell::new(received),
            last_progress_at: Cell::new(Instant::now()),
            finish: Cell::new(None),
            finished: Notify::new(),
        }
    }

    /// Returns whether an attempt has begun to stream it. What was streamed is not buffered, so no other attempt can be
    /// made.
    pub fn is_consumed(&self) -> bool {
        self.remaining.borrow().is_none()
    }

    /// Takes what is still to come, for the one attempt that may stream it.
    pub fn take_remaining(&self) -> Option<RemainingUpload> {
        self.remaining.borrow_mut().take()
    }

    /// Returns the length that the request declares.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns whether as many bytes as the request declares have been received.
    pub fn has_received_declared_length(&self) -> bool {
        self.length == Some(self.received.get())
    }

    /// Returns when the last byte had been received, once the body is complete.
    pub fn completed_at(&self) -> Option<Instant> {
        self.finish
            .get()
            .filter(|finish| finish.result.is_ok())
            .map(|finish| finish.at)
    }

    /// Returns whether the body is complete or has failed.
    pub fn is_finished(&self) -> bool {
        self.finish.get().is_some()
    }

    /// Notes that an attempt with this body begins: pauses are measured from now on.
    pub fn on_attempt_started(&self) {
        self.last_progress_at.set(Instant::now());
    }

    /// Notes that so many bytes were received and are forwarded.
    ///
    /// # Errors
    /// [`UploadError::TooLarge`] where the body has become larger than [`MAX_BODY`].
    pub fn on_received(&self, bytes: usize) -> Result<(), UploadError> {
        self.last_progress_at.set(Instant::now());
        self.received.set(self.received.get() + bytes as u64);
        if self.received.get() <= MAX_BODY {
            Ok(())
        } else {
            Err(UploadError::TooLarge)
        }
    }

    /// Notes that the body is complete or has failed, and wakes those that wait for it.
    pub fn set_finished(&self, result: Result<(), UploadError>) {
        self.finish.set(Some(UploadFinish {
            result,
            at: Instant::now(),
        }));
        self.finished.notify_waiters();
    }

    /// Returns the current deadline of work that may take `timeout` after the body's last byte.
    fn deadline(&self, timeout: Duration) -> Instant {
        match self.completed_at() {
            Some(completed_at) => completed_at + timeout,
            None => self.last_progress_at.get() + timeout.max(MAX_PAUSE),
        }
    }

    /// Awaits work that may take `timeout` after the body's last byte. While the body is still coming the deadline moves
    /// with it. Returns `None` once the deadline has passed.
    pub async fn timeout<T>(&self, timeout: Duration, work: impl Future<Output = T>) -> Option<T> {
        let mut work = std::pin::pin!(work);
        loop {
            let deadline = self.deadline(timeout);
            match timeout_at(deadline, work.as_mut()).await {
                Ok(output) => return Some(output),
                Err(_) if self.deadline(timeout) > deadline => {}
                Err(_) => return None,
            }
        }
    }

    /// Waits until the body is complete.
    ///
    /// # Errors
    /// Why the body could not be received.
    pub async fn wait_until_finished(&self) -> Result<(), UploadError> {
        loop {
            let finished = self.finished.notified();
            if let Some(finish) = self.finish.get() {
                return finish.result;
            }
            finished.await;
        }
    }
}
