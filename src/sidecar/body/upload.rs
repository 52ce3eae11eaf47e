//! Receiving clients' request bodies, completely or up to the limit of buffering.

use super::error::UploadError;
use super::limits::{MAX_BODY, exceeds_buffer};
use super::request_deadline::RequestDeadline;
use super::upload_deadline::UploadDeadline;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// The received part of a request body.
#[derive(Debug)]
pub struct ReceivedRequestBody {
    /// The complete body, or the start of it if there is an upload.
    pub buffered: Bytes,
    /// The rest of a body that is too large to be buffered.
    pub upload: Option<Rc<Upload>>,
}

/// Receives a request body until it is complete or too large to be buffered. `started_at` is the time at which the
/// request's first byte arrived. `request_deadline` creates the deadline of a request whose body is streamed.
///
/// # Errors
/// The body cannot be received.
pub async fn receive_request_body(
    mut body: Incoming,
    started_at: Instant,
    request_deadline: impl FnOnce() -> RequestDeadline,
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
            let received = buffered.len() as u64;
            let upload = Upload::new(remaining, length, received, request_deadline());
            return Ok(ReceivedRequestBody {
                buffered: buffered.freeze(),
                upload: Some(Rc::new(upload)),
            });
        }
    }
}

/// A request body that is too large to be buffered and is streamed to one endpoint. It is shared by the attempt that
/// streams it and the task that waits for the response.
#[derive(Debug)]
pub struct Upload {
    /// The rest of the body. The first attempt that streams it takes it, so no other attempt can send it.
    remaining: RefCell<Option<RemainingUpload>>,
    /// The length that the request declares.
    length: Option<u64>,
    /// The number of bytes received so far.
    received: Cell<u64>,
    /// Set once the body is complete or has failed.
    finish: Cell<Option<UploadFinish>>,
    /// Notified when `finish` is set.
    finished: Notify,
    /// The deadline of the request.
    deadline: RequestDeadline,
}

/// The part of an upload that has not been received yet.
#[derive(Debug)]
pub struct RemainingUpload {
    /// The rest of the body.
    pub body: Incoming,
    /// The deadline by which the client has to send more of it.
    pub deadline: UploadDeadline,
}

/// The result of an upload, and the time at which it finished.
#[derive(Clone, Copy, Debug)]
struct UploadFinish {
    result: Result<(), UploadError>,
    at: Instant,
}

impl Upload {
    fn new(
        remaining: RemainingUpload,
        length: Option<u64>,
        received: u64,
        deadline: RequestDeadline,
    ) -> Self {
        Upload {
            remaining: RefCell::new(Some(remaining)),
            length,
            received: Cell::new(received),
            finish: Cell::new(None),
            finished: Notify::new(),
            deadline,
        }
    }

    /// Returns whether an attempt has started to stream the body. Streamed bytes are not buffered, so no other attempt
    /// can be made then.
    pub fn is_consumed(&self) -> bool {
        self.remaining.borrow().is_none()
    }

    /// Takes the rest of the body, for the only attempt that may stream it. Returns `None` if it was taken before.
    pub fn take_remaining(&self) -> Option<RemainingUpload> {
        self.remaining.borrow_mut().take()
    }

    /// Returns the length that the request declares.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Returns whether the declared number of bytes has been received.
    pub fn has_received_declared_length(&self) -> bool {
        self.length == Some(self.received.get())
    }

    /// Returns the time at which the body was complete, or `None` if it is not.
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

    /// Returns the deadline of the request.
    pub fn deadline(&self) -> &RequestDeadline {
        &self.deadline
    }

    /// Records that `bytes` bytes were received and are being forwarded.
    ///
    /// # Errors
    /// [`UploadError::TooLarge`] if the body has become larger than [`MAX_BODY`].
    pub fn on_received(&self, bytes: usize) -> Result<(), UploadError> {
        self.deadline.on_progress();
        self.received.set(self.received.get() + bytes as u64);
        if self.received.get() <= MAX_BODY {
            Ok(())
        } else {
            Err(UploadError::TooLarge)
        }
    }

    /// Records that the body is complete or has failed, and wakes the tasks that wait for this.
    pub fn set_finished(&self, result: Result<(), UploadError>) {
        self.finish.set(Some(UploadFinish {
            result,
            at: Instant::now(),
        }));
        if result.is_ok() {
            self.deadline.on_body_complete();
        }
        self.finished.notify_waiters();
    }

    /// Waits until the body is complete.
    ///
    /// # Errors
    /// The body could not be received.
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
