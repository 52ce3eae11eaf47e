//! What callers are answered.

use crate::sidecar::body::BodyTransferError;
use crate::sidecar::caller::ConnectionState;
use crate::sidecar::endpoint::{ResponseBody, StreamedResponse};
use crate::sidecar::metrics::RequestCount;
use crate::sidecar::node::FinalAnswer;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// An answer to a caller.
pub type Reply = Response<ReplyBody>;

/// The body of what a caller is answered.
pub enum ReplyBody {
    /// All of it.
    Whole(Full<Bytes>),
    /// It goes on as it comes.
    Streamed(Box<StreamedReply>),
}

/// An endpoint's answer that goes on to a caller as it comes.
pub struct StreamedReply {
    answer: StreamedResponse,
    /// Its request's count, until it has ended.
    count: Option<RequestCount>,
    /// The connection that it goes on to.
    state: Option<Rc<ConnectionState>>,
}

impl StreamedReply {
    /// Has it count for a request, and its end for the connection that it goes to.
    pub fn count_for(&mut self, count: RequestCount, state: &Rc<ConnectionState>) {
        self.count = Some(count);
        self.state = Some(state.clone());
    }

    fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyTransferError>>> {
        let frame = Pin::new(&mut self.answer).poll_frame(context);
        let status = match &frame {
            Poll::Ready(Some(Err(_))) => Some(StatusCode::BAD_GATEWAY),
            _ => self.answer.is_complete().then_some(StatusCode::OK),
        };
        if let Some(status) = status {
            self.count
                .take()
                .into_iter()
                .for_each(|count| count.end(status));
        }
        frame
    }
}

/// Its connection is between requests again.
impl Drop for StreamedReply {
    fn drop(&mut self) {
        self.state.iter().for_each(|state| state.set_idle());
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = BodyTransferError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.get_mut() {
            ReplyBody::Whole(body) => Pin::new(body)
                .poll_frame(context)
                .map_err(|never| match never {}),
            ReplyBody::Streamed(body) => body.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ReplyBody::Whole(body) => body.is_end_stream(),
            ReplyBody::Streamed(body) => body.answer.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Whole(body) => body.size_hint(),
            ReplyBody::Streamed(body) => body.answer.size_hint(),
        }
    }
}

/// The answer that a request's final answer makes.
pub fn reply(answer: FinalAnswer) -> Reply {
    match answer {
        FinalAnswer::Served(served) => {
            let mut reply = Response::new(match served.body {
                ResponseBody::Complete(body) => ReplyBody::Whole(Full::new(body)),
                ResponseBody::Streamed(answer) => {
                    let streamed = StreamedReply {
                        answer: *answer,
                        count: None,
                        state: None,
                    };
                    ReplyBody::Streamed(Box::new(streamed))
                }
            });
            *reply.headers_mut() = served.headers;
            reply
        }
        FinalAnswer::Rejected { retry_after } => rejected(retry_after),
        FinalAnswer::Failed { timed_out: true } => {
            plain(StatusCode::GATEWAY_TIMEOUT, "no endpoint answered in time")
        }
        FinalAnswer::Failed { timed_out: false } => {
            plain(StatusCode::BAD_GATEWAY, "no endpoint served it")
        }
    }
}

/// Says that trying again is harmless, and when.
pub fn rejected(retry_after: Option<Duration>) -> Reply {
    let mut reply = plain(
        StatusCode::SERVICE_UNAVAILABLE,
        "refused; trying again is harmless",
    );
    let seconds = retry_after.map(|after| HeaderValue::from_str(&after.as_secs_f64().to_string()));
    if let Some(Ok(seconds)) = seconds {
        reply.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    reply
}

/// A status, and a text for whoever reads it.
pub fn plain(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(ReplyBody::Whole(Full::new(Bytes::from_static(
        text.as_bytes(),
    ))));
    *reply.status_mut() = status;
    reply
}
