//! Responses that are forwarded to their clients while they are received.

use super::connection::EndpointConnection;
use crate::policy::RequestId;
use crate::sidecar::body::{BodyTransferError, MAX_BODY, MAX_BUFFERED_BODY, poll_data};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

/// The maximum time for which an endpoint may pause within a response body. It may be waiting for the next tier.
const MAX_PAUSE: Duration = Duration::from_secs(10);
/// The time after the client's deadline by which a response that may be a short one breaks off if its endpoint has stopped
/// sending. The client is owed its final answer half a second after its deadline.
const SHORT_RESPONSE_GRACE: Duration = Duration::from_millis(200);
/// The minimum pause after which an endpoint counts as having stopped sending a response that may be a short one.
const MIN_PAUSE: Duration = Duration::from_millis(300);

/// Returns a connection to the pool once its response is complete.
type ReturnConnection = Box<dyn FnOnce(EndpointConnection)>;

/// A response body that is forwarded while it is received. The request can no longer be tried again, so a failure also
/// aborts the response to the client.
pub struct StreamedResponse {
    start: ResponseStart,
    remaining: Incoming,
    /// The bytes forwarded so far.
    forwarded: u64,
    /// Expires when the endpoint has paused for too long. `None` while data arrives.
    pause_timer: Option<Pin<Box<Sleep>>>,
    /// The connection and the function that returns it. `None` once the response is complete.
    connection: Option<(EndpointConnection, ReturnConnection)>,
}

/// The start of a response that is forwarded while it is received.
#[derive(Debug)]
pub struct ResponseStart {
    /// The request that it answers, for the log.
    pub request: RequestId,
    /// The bytes of the body that have been received and not been forwarded.
    pub buffered: Bytes,
    /// The length that it declares.
    pub length: Option<u64>,
    /// The time by which the client expects a response that is not long.
    pub due: Instant,
}

impl ResponseStart {
    /// Returns the time at which the response breaks off if its endpoint pauses from `now` on, when `forwarded` bytes have
    /// been forwarded. A response that declares no length may be a short one until it has become long. Its client waits no
    /// longer than its deadline.
    fn end_of_pause(&self, forwarded: u64, now: Instant) -> Instant {
        let latest = now + MAX_PAUSE;
        let may_be_short = self.length.is_none() && forwarded <= MAX_BUFFERED_BODY as u64;
        if may_be_short {
            latest.min((self.due + SHORT_RESPONSE_GRACE).max(now + MIN_PAUSE))
        } else {
            latest
        }
    }
}

impl StreamedResponse {
    /// Creates a response of which the start has been received on a connection.
    pub fn new(
        start: ResponseStart,
        remaining: Incoming,
        connection: EndpointConnection,
        return_connection: impl FnOnce(EndpointConnection) + 'static,
    ) -> Self {
        let connection = Some((connection, Box::new(return_connection) as ReturnConnection));
        StreamedResponse {
            start,
            remaining,
            forwarded: 0,
            pause_timer: None,
            connection,
        }
    }

    /// Returns whether all of the response has been received. A response that was cut off never becomes complete.
    pub fn is_complete(&self) -> bool {
        self.connection.is_none()
    }

    fn complete(&mut self) {
        if let Some((connection, return_connection)) = self.connection.take() {
            return_connection(connection);
        }
    }

    /// Logs why the response breaks off after its beginning was forwarded.
    fn log_failure(&self, error: &BodyTransferError) {
        log!(
            "request {}: its response breaks off after {} bytes: {error}",
            self.start.request.0,
            self.forwarded
        );
    }

    /// Polls for the next data. Returns `None` at the end.
    fn poll_remaining(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, BodyTransferError>> {
        let Poll::Ready(received) = poll_data(&mut self.remaining, context) else {
            let (start, forwarded) = (&self.start, self.forwarded);
            let start_timer =
                || Box::pin(sleep_until(start.end_of_pause(forwarded, Instant::now())));
            let pause_timer = self.pause_timer.get_or_insert_with(start_timer);
            return pause_timer
                .as_mut()
                .poll(context)
                .map(|()| Err(BodyTransferError::ResponseStalled));
        };
        self.pause_timer = None;
        Poll::Ready(received.transpose().map_err(BodyTransferError::from))
    }
}

impl Body for StreamedResponse {
    type Data = Bytes;
    type Error = BodyTransferError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTransferError>>> {
        if !self.start.buffered.is_empty() {
            let buffered = std::mem::take(&mut self.start.buffered);
            self.forwarded += buffered.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        let received = ready!(self.poll_remaining(context));
        let Some(data) = received.inspect_err(|error| self.log_failure(error))? else {
            self.complete();
            return Poll::Ready(None);
        };
        self.forwarded += data.len() as u64;
        if self.forwarded > MAX_BODY {
            let error = BodyTransferError::ResponseTooLarge;
            self.log_failure(&error);
            return Poll::Ready(Some(Err(error)));
        }
        if self.start.length == Some(self.forwarded) {
            self.complete(); // hyper does not poll again for the end
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_complete() && self.start.buffered.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        self.start
            .length
            .map(|length| SizeHint::with_exact(length - self.forwarded))
            .unwrap_or_default()
    }
}

impl fmt::Debug for StreamedResponse {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("StreamedResponse")
            .field("length", &self.start.length)
            .field("forwarded", &self.forwarded)
            .field("is_complete", &self.is_complete())
            .finish_non_exhaustive()
    }
}

#[cfg(test)]
#[path = "streamed_response_tests.rs"]
mod tests;
