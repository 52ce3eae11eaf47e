//! Responses to callers.

use super::streamed_reply::StreamedReply;
use crate::sidecar::body::BodyTransferError;
use crate::sidecar::endpoint::ResponseBody;
use crate::sidecar::node::FinalAnswer;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// A response to a caller.
pub type Reply = Response<ReplyBody>;

/// The body of a response to a caller.
pub enum ReplyBody {
    /// A complete body.
    Complete(Full<Bytes>),
    /// A body that is streamed as the endpoint sends it.
    Streamed(Box<StreamedReply>),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = BodyTransferError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.get_mut() {
            ReplyBody::Complete(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            ReplyBody::Streamed(body) => body.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ReplyBody::Complete(body) => body.is_end_stream(),
            ReplyBody::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Complete(body) => body.size_hint(),
            ReplyBody::Streamed(body) => body.size_hint(),
        }
    }
}

/// Returns the response that reports a final answer.
pub fn final_reply(answer: FinalAnswer) -> Reply {
    match answer {
        FinalAnswer::Served(served) => {
            let mut reply = Response::new(match served.body {
                ResponseBody::Complete(body) => ReplyBody::Complete(Full::new(body)),
                ResponseBody::Streamed(response) => {
                    ReplyBody::Streamed(Box::new(StreamedReply::new(response)))
                }
            });
            *reply.headers_mut() = served.headers;
            reply
        }
        FinalAnswer::Rejected { retry_after } => rejected(retry_after),
        FinalAnswer::Failed { timed_out: true } => {
            text_reply(StatusCode::GATEWAY_TIMEOUT, "no endpoint answered in time")
        }
        FinalAnswer::Failed { timed_out: false } => {
            text_reply(StatusCode::BAD_GATEWAY, "no endpoint served it")
        }
    }
}

/// Returns a response that tells the client that it may retry, after `retry_after` if that is given.
pub fn rejected(retry_after: Option<Duration>) -> Reply {
    let mut reply = text_reply(
        StatusCode::SERVICE_UNAVAILABLE,
        "refused; trying again is harmless",
    );
    let seconds = retry_after.map(|after| HeaderValue::from_str(&after.as_secs_f64().to_string()));
    if let Some(Ok(seconds)) = seconds {
        reply.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    reply
}

/// Returns a response with a status and a human-readable text.
pub fn text_reply(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(ReplyBody::Complete(Full::new(Bytes::from_static(
        text.as_bytes(),
    ))));
    *reply.status_mut() = status;
    reply
}
