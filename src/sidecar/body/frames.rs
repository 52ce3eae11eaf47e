//! The data frames of a body.

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// Polls for the next data frame of a body. Returns `None` at its end. Skips trailers, which are not forwarded.
pub fn poll_data(
    body: &mut Incoming,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Bytes, hyper::Error>>> {
    loop {
        match ready!(Pin::new(&mut *body).poll_frame(context)) {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Poll::Ready(Some(Ok(data)));
                }
            }
            Some(Err(error)) => return Poll::Ready(Some(Err(error))),
            None => return Poll::Ready(None),
        }
    }
}
