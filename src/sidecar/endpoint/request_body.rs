//! The body of a request to an endpoint.

use super::write_progress::WriteProgress;
use crate::sidecar::body::{BodyTransferError, RemainingUpload, Upload, UploadError, poll_data};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::time::{Instant, Sleep, sleep_until};

/// The body of a request to an endpoint. hyper drops the body as soon as it has taken all of it, or at once if it is
/// empty. The connection's [`WriteProgress`] is notified when a body that was taken completely is dropped.
#[derive(Debug)]
pub struct RequestBody {
    source: BodySource,
    progress: Rc<WriteProgress>,
}

/// The origin of a body's bytes.
#[derive(Debug)]
enum BodySource {
    Buffered(Full<Bytes>),
    Upload(UploadSource),
}

/// A body that is streamed while the client sends it.
#[derive(Debug)]
struct UploadSource {
    /// The start of the body, received before the attempt. `None` once it has been forwarded.
    buffered: Option<Bytes>,
    upload: Rc<Upload>,
    remaining: Option<RemainingUpload>,
    deadline_timer: Pin<Box<Sleep>>,
}

impl RequestBody {
    /// Creates a body. `buffered` is all of it, or the start of it if there is an upload.
    pub fn new(buffered: Bytes, upload: Option<Rc<Upload>>, progress: Rc<WriteProgress>) -> Self {
        let source = match upload {
            None => BodySource::Buffered(Full::new(buffered)),
            Some(upload) => BodySource::Upload(UploadSource::new(buffered, upload)),
        };
        RequestBody { source, progress }
    }
}

impl UploadSource {
    fn new(buffered: Bytes, upload: Rc<Upload>) -> Self {
        upload.deadline().on_progress();
        UploadSource {
            buffered: Some(buffered),
            upload,
            remaining: None,
            deadline_timer: Box::pin(sleep_until(Instant::now())),
        }
    }

    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTransferError>>> {
        if let Some(buffered) = self.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        if self.upload.completed_at().is_some() {
            return Poll::Ready(None);
        }
        if self.remaining.is_none() {
            self.remaining = self.upload.take_remaining();
        }
        let Some(remaining) = &mut self.remaining else {
            return Poll::Ready(Some(Err(BodyTransferError::UploadConsumed)));
        };
        let Poll::Ready(received) = poll_remaining(remaining, &mut self.deadline_timer, context)
        else {
            self.upload.deadline().on_nothing_to_read();
            return Poll::Pending;
        };
        let forwarded = received.and_then(|data| match data {
            Some(data) => self.upload.on_received(data.len()).map(|()| Some(data)),
            None => Ok(None),
        });
        match forwarded {
            Ok(Some(data)) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Ok(None) => {
                self.upload.set_finished(Ok(()));
                Poll::Ready(None)
            }
            Err(error) => {
                self.upload.set_finished(Err(error));
                Poll::Ready(Some(Err(error.into())))
            }
        }
    }

    /// Returns whether all of it has been forwarded.
    fn is_complete(&self) -> bool {
        self.buffered.is_none() && self.upload.completed_at().is_some()
    }

    /// Marks an upload as finished once its declared length has been received. hyper stops reading there, before the
    /// upload reports its end.
    fn finish_at_declared_length(&self) {
        if self.upload.has_received_declared_length() && !self.upload.is_finished() {
            self.upload.set_finished(Ok(()));
        }
    }
}

/// Polls for the next data of an upload. Returns `None` at its end.
fn poll_remaining(
    remaining: &mut RemainingUpload,
    deadline_timer: &mut Pin<Box<Sleep>>,
    context: &mut Context<'_>,
) -> Poll<Result<Option<Bytes>, UploadError>> {
    let deadline = remaining.deadline.resume();
    match poll_data(&mut remaining.body, context) {
        Poll::Ready(Some(Ok(data))) => {
            remaining.deadline.on_received(data.len());
            Poll::Ready(Ok(Some(data)))
        }
        Poll::Ready(Some(Err(_))) => Poll::Ready(Err(UploadError::Incomplete)),
        Poll::Ready(None) => Poll::Ready(Ok(None)),
        Poll::Pending => {
            if deadline_timer.deadline() != deadline {
                deadline_timer.as_mut().reset(deadline);
            }
            deadline_timer
                .as_mut()
                .poll(context)
                .map(|()| Err(UploadError::TooSlow))
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyTransferError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTransferError>>> {
        match &mut self.source {
            BodySource::Buffered(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            BodySource::Upload(source) => source.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            BodySource::Buffered(body) => body.is_end_stream(),
            BodySource::Upload(source) => source.is_complete(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Buffered(body) => body.size_hint(),
            BodySource::Upload(source) => source
                .upload
                .length()
                .map(SizeHint::with_exact)
                .unwrap_or_default(),
        }
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if let BodySource::Upload(source) = &self.source {
            source.finish_at_declared_length();
        }
        if self.is_end_stream() {
            self.progress.on_request_buffered();
        }
    }
}
