//! What an attempt writes of its request's body.

use super::write_progress::WriteProgress;
use crate::sidecar::body::{BodyTransferError, RemainingUpload, Upload, UploadError};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::time::{Instant, Sleep, sleep_until};

/// A request's body on its way to an endpoint. Its connection is told when hyper lets go of it whole: as soon as it has all
/// of it, at once where there is none.
pub struct OutgoingBody {
    source: Source,
    progress: Rc<WriteProgress>,
}

enum Source {
    Kept(Full<Bytes>),
    Upload(UploadSource),
}

struct UploadSource {
    /// What was kept, until it has gone on.
    first: Option<Bytes>,
    upload: Rc<Upload>,
    rest: Option<RemainingUpload>,
    timer: Pin<Box<Sleep>>,
}

impl OutgoingBody {
    /// A body that is kept, or the beginning of an upload.
    pub fn new(kept: Bytes, upload: Option<Rc<Upload>>, progress: Rc<WriteProgress>) -> Self {
        let source = match upload {
            None => Source::Kept(Full::new(kept)),
            Some(upload) => {
                upload.attempt_begins();
                let timer = Box::pin(sleep_until(Instant::now()));
                Source::Upload(UploadSource {
                    first: Some(kept),
                    upload,
                    rest: None,
                    timer,
                })
            }
        };
        OutgoingBody { source, progress }
    }
}

impl UploadSource {
    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTransferError>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        if self.upload.completed_at().is_some() {
            return Poll::Ready(None);
        }
        if self.rest.is_none() {
            self.rest = self.upload.take_rest();
        }
        let Some(rest) = &mut self.rest else {
            return Poll::Ready(Some(Err("another attempt has taken the body".into())));
        };
        let piece = ready!(poll_piece(rest, self.timer.as_mut(), context));
        let passed = match piece {
            Ok(Some(data)) => self.upload.passed(data.len()).map(|()| data),
            Ok(None) => {
                self.upload.set_ended(Ok(()));
                return Poll::Ready(None);
            }
            Err(error) => Err(error),
        };
        Poll::Ready(Some(match passed {
            Ok(data) => Ok(Frame::data(data)),
            Err(error) => {
                self.upload.set_ended(Err(error));
                Err("the caller's body cannot be received".into())
            }
        }))
    }

    /// Whether all of it has gone on.
    fn is_whole(&self) -> bool {
        self.first.is_none() && self.upload.completed_at().is_some()
    }
}

/// The next piece of an upload, none at its end.
fn poll_piece(
    rest: &mut RemainingUpload,
    mut timer: Pin<&mut Sleep>,
    context: &mut Context<'_>,
) -> Poll<Result<Option<Bytes>, UploadError>> {
    loop {
        let due = rest.pace.wait();
        match Pin::new(&mut rest.body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                }; // trailers go no further
                rest.pace.received(data.len());
                return Poll::Ready(Ok(Some(data)));
            }
            Poll::Ready(None) => return Poll::Ready(Ok(None)),
            Poll::Ready(Some(Err(_))) => return Poll::Ready(Err(UploadError::Incomplete)),
            Poll::Pending => {
                if timer.deadline() != due {
                    timer.as_mut().reset(due);
                }
                ready!(timer.as_mut().poll(context));
                return Poll::Ready(Err(UploadError::TooSlow));
            }
        }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = BodyTransferError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTransferError>>> {
        match &mut self.source {
            Source::Kept(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            Source::Upload(upload) => upload.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Kept(body) => body.is_end_stream(),
            Source::Upload(upload) => upload.is_whole(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Kept(body) => body.size_hint(),
            Source::Upload(source) => source
                .upload
                .length()
                .map(SizeHint::with_exact)
                .unwrap_or_default(),
        }
    }
}

impl Drop for OutgoingBody {
    fn drop(&mut self) {
        if let Source::Upload(UploadSource { upload, .. }) = &self.source
            && upload.has_declared_length()
            && !upload.has_ended()
        {
            upload.set_ended(Ok(())); // hyper asks for no more than was declared
        }
        if self.is_end_stream() {
            self.progress.request_taken();
        }
    }
}
