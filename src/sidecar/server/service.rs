//! Answers the requests of one caller's connection according to their paths.

use super::caller_connection::CallerConnection;
use super::forward;
use super::reply::{Reply, ReplyBody, text_reply};
use super::request_error::RequestError;
use crate::sidecar::caller::{Admission, HeadError, Persistence, ResponseKind};
use crate::sidecar::counters::EarlyRejection;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, StatusCode};
use tokio::time::Instant;

impl CallerConnection {
    /// Answers one request and decides whether the connection stays open after the response.
    pub async fn serve_one(&self, request: Request<Incoming>) -> Reply {
        let started_at = self.state.request_started();
        let mut reply = self.answer(request, started_at).await;
        self.state.response_ready(match reply.body() {
            ReplyBody::Complete(_) => ResponseKind::Complete,
            ReplyBody::Streamed(_) => ResponseKind::Streamed,
        });
        if self.state.persistence() == Persistence::Close
            || self.node.borrow().callers().closes_after_responses()
        {
            reply
                .headers_mut()
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        reply
    }

    async fn answer(&self, request: Request<Incoming>, started_at: Instant) -> Reply {
        match self.state.head_error() {
            Some(HeadError::NoMemory) => return self.reject_early(EarlyRejection::Memory),
            Some(error) => return RequestError::from(error).reply(),
            None => {}
        }
        match (request.uri().path(), request.method()) {
            ("/ready", &Method::GET | &Method::HEAD) => self.readiness(),
            ("/ready", _) => RequestError::method_not_allowed("GET, HEAD").reply(),
            ("/api", &Method::GET | &Method::POST) => match self.admission {
                Admission::RejectedEarly(reason) => self.reject_early_and_count(reason, &request),
                Admission::Accepted => {
                    let answer = forward::answer(self, request, started_at).await;
                    answer.unwrap_or_else(|error| self.reply_to_error(error))
                }
            },
            ("/api", _) => RequestError::method_not_allowed("GET, POST").reply(),
            _ => text_reply(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    /// Answers an invalid request. If its body was not read to its end, the connection closes, because the start of the
    /// next request is not known.
    fn reply_to_error(&self, error: RequestError) -> Reply {
        if error.body_is_unread {
            self.state.set_persistence(Persistence::Close);
        }
        error.reply()
    }

    /// Answers a readiness check.
    fn readiness(&self) -> Reply {
        let status = if self.node.borrow().is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        text_reply(status, "")
    }

    /// Rejects a request without reading its body, and counts it in the metrics of its class.
    fn reject_early_and_count(&self, reason: EarlyRejection, request: &Request<Incoming>) -> Reply {
        let reply = self.reject_early(reason);
        let name = request
            .headers()
            .get("x-class")
            .and_then(|value| value.to_str().ok());
        let mut node = self.node.borrow();
        let is_class = |name: &&str| {
            node.configuration()
                .settings()
                .classes
                .iter()
                .any(|class| class.name == **name)
        };
        if let Some(name) = name.filter(is_class) {
            node.begin_request(name).end(reply.status());
        }
        reply
    }
}
