//! Response bodies that are streamed to callers while endpoints send them.

use crate::sidecar::body::BodyTransferError;
use crate::sidecar::caller::ConnectionState;
use crate::sidecar::endpoint::StreamedResponse;
use crate::sidecar::memory::RequestMemory;
use crate::sidecar::metrics::RequestTracker;
use bytes::Bytes;
use hyper::StatusCode;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

type FramePoll = Poll<Option<Result<Frame<Bytes>, BodyTransferError>>>;

/// An endpoint's response whose body is streamed to a caller.
///
/// When hyper gets an error from a body, it ends the connection and drops what it has not written yet, which can be the
/// response's head too. A failure of the endpoint's response is therefore reported to hyper only once everything before
/// it has been written to the caller.
pub struct StreamedReply {
    source: Source,
    /// Tracks the request's metrics until the body has ended.
    tracker: Option<RequestTracker>,
    /// The state of the caller's connection, which is notified when the body has ended.
    state: Option<Rc<ConnectionState>>,
    /// The memory of the request, which its answer takes too.
    memory: Option<RequestMemory>,
    /// The connection's count of flushes when the last frame was given to hyper, until that frame has been flushed.
    unflushed_since: Option<u64>,
}

/// The origin of the next frame.
enum Source {
    /// The endpoint's response, as far as it has not failed.
    Response(Box<StreamedResponse>),
    /// The endpoint's response has failed. The failure waits until the connection has been flushed more often than
    /// `flushes`, which is its count when the failure was seen.
    Failed {
        error: Option<BodyTransferError>,
        flushes: u64,
        /// The length of the rest that never arrived, which hyper may ask for.
        remaining: SizeHint,
    },
}

impl StreamedReply {
    /// Creates the reply that streams a response.
    pub fn new(response: Box<StreamedResponse>) -> Self {
        StreamedReply {
            source: Source::Response(response),
            tracker: None,
            state: None,
            memory: None,
            unflushed_since: None,
        }
    }

    /// Sets where the end of the body is reported: the request's metrics and the connection's state.
    pub fn report_end_to(&mut self, tracker: RequestTracker, state: &Rc<ConnectionState>) {
        self.tracker = Some(tracker);
        self.state = Some(state.clone());
    }

    /// Keeps the memory of the request reserved until the body has ended.
    pub fn keep_reserved(&mut self, memory: RequestMemory) {
        self.memory = Some(memory);
    }

    /// Polls for the next frame. Returns `None` at the end.
    ///
    /// The next frame is ready only once the last one has been written to the caller. hyper would collect several of
    /// them for a caller that reads slowly, and there may be hundreds of such callers.
    pub fn poll_frame(&mut self, context: &mut Context<'_>) -> FramePoll {
        ready!(self.poll_flushed(context));
        if let Source::Response(response) = &mut self.source {
            let frame = Pin::new(&mut **response).poll_frame(context);
            let Poll::Ready(Some(Err(error))) = frame else {
                if response.is_complete() {
                    self.end_tracking(StatusCode::OK);
                }
                if frame.is_ready() {
                    self.unflushed_since = self.flush_count();
                }
                return frame;
            };
            self.fail(error);
        }
        self.poll_failure(context)
    }

    /// Ready once the last frame has been written to the caller's socket.
    fn poll_flushed(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if let (Some(state), Some(count)) = (&self.state, self.unflushed_since) {
            ready!(state.flushes().poll_more_than(count, context));
            self.unflushed_since = None;
        }
        Poll::Ready(())
    }

    /// Returns the count of the connection's flushes.
    fn flush_count(&self) -> Option<u64> {
        self.state.as_ref().map(|state| state.flushes().count())
    }

    /// Replaces the response, which closes its connection to the endpoint, by the failure that ends the reply.
    fn fail(&mut self, error: BodyTransferError) {
        self.source = Source::Failed {
            error: Some(error),
            flushes: self.flush_count().unwrap_or_default(),
            remaining: self.size_hint(),
        };
        self.end_tracking(StatusCode::BAD_GATEWAY);
    }

    /// Polls for the failure, which is ready once everything before it has been written.
    fn poll_failure(&mut self, context: &mut Context<'_>) -> FramePoll {
        let Source::Failed { error, flushes, .. } = &mut self.source else {
            return Poll::Pending;
        };
        if let Some(state) = &self.state {
            ready!(state.flushes().poll_more_than(*flushes, context));
        }
        Poll::Ready(error.take().map(Err))
    }

    fn end_tracking(&mut self, status: StatusCode) {
        if let Some(tracker) = self.tracker.take() {
            tracker.end(status);
        }
    }

    /// Returns whether the body has ended.
    pub fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Response(response) => response.is_end_stream(),
            Source::Failed { .. } => false,
        }
    }

    /// Returns what is known about the length of the rest.
    pub fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Response(response) => response.size_hint(),
            Source::Failed { remaining, .. } => *remaining,
        }
    }
}

/// Reports the end of the stream. hyper drops a body at its end or with its connection.
impl Drop for StreamedReply {
    fn drop(&mut self) {
        if let Some(state) = &self.state {
            state.stream_ended();
        }
    }
}
