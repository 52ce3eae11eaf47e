//! Answers that go on to their callers as they come.

use super::connection::EndpointConnection;
use crate::sidecar::body::{BodyTransferError, MAX_BODY};
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::time::{Instant, Sleep, sleep_until};

/// An endpoint that has begun to answer may pause so long; it may have a tier behind it.
const LONGEST_PAUSE: Duration = Duration::from_secs(10);

/// What takes a connection back once its answer has come whole.
type ReturnConnection = Box<dyn FnOnce(EndpointConnection)>;

/// A body that goes on to its caller as it comes. What goes wrong from now on the caller is left to see.
pub struct StreamedResponse {
    first: Bytes,
    rest: Incoming,
    length: Option<u64>,
    passed: u64,
    /// How long the endpoint may still pause, while it is waited for.
    pause: Option<Pin<Box<Sleep>>>,
    /// Until the answer has ended.
    connection: Option<(EndpointConnection, ReturnConnection)>,
}

impl StreamedResponse {
    /// An answer of which some has come on a connection.
    pub fn new(
        first: Bytes,
        rest: Incoming,
        length: Option<u64>,
        connection: EndpointConnection,
        return_connection: impl FnOnce(EndpointConnection) + 'static,
    ) -> Self {
        let connection = Some((connection, Box::new(return_connection) as ReturnConnection));
        StreamedResponse {
            first,
            rest,
            length,
            passed: 0,
            pause: None,
            connection,
        }
    }

    /// Whether all of it has come. One that broke off is not whole, and no more of it comes.
    pub fn is_whole(&self) -> bool {
        self.connection.is_none()
    }

    fn end_whole(&mut self) {
        if let Some((connection, return_connection)) = self.connection.take() {
            return_connection(connection);
        }
    }

    /// The next piece, none at the end.
    fn poll_piece(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<Option<Bytes>, BodyTransferError>> {
        loop {
            match Pin::new(&mut self.rest).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    self.pause = None;
                    let Ok(data) = frame.into_data() else {
                        continue;
                    }; // trailers go no further
                    return Poll::Ready(Ok(Some(data)));
                }
                Poll::Ready(None) => return Poll::Ready(Ok(None)),
                Poll::Ready(Some(Err(failure))) => return Poll::Ready(Err(failure.into())),
                Poll::Pending => {
                    let pause = || Box::pin(sleep_until(Instant::now() + LONGEST_PAUSE));
                    ready!(self.pause.get_or_insert_with(pause).as_mut().poll(context));
                    let text = "the endpoint has stopped in the middle of its answer";
                    return Poll::Ready(Err(text.into()));
                }
            }
        }
    }
}

impl Body for StreamedResponse {
    type Data = Bytes;
    type Error = BodyTransferError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTransferError>>> {
        if !self.first.is_empty() {
            let first = std::mem::take(&mut self.first);
            self.passed += first.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Some(data) = ready!(self.poll_piece(context))? else {
            self.end_whole();
            return Poll::Ready(None);
        };
        self.passed += data.len() as u64;
        if self.passed > MAX_BODY {
            return Poll::Ready(Some(Err("the answer is too large".into())));
        }
        if self.length == Some(self.passed) {
            self.end_whole(); // hyper asks for no more
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.connection.is_none() && self.first.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        self.length
            .map(|length| SizeHint::with_exact(length - self.passed))
            .unwrap_or_default()
    }
}
