//! Forwards one request: from its head through the node to its response.

use super::caller_connection::CallerConnection;
use super::reply::{Reply, ReplyBody, final_reply, text_reply};
use super::request::parse_request;
use super::request_error::RequestError;
use crate::policy::{Class, Idempotency, Request as PolicyRequest, RequestId};
use crate::sidecar::body::{ReceivedRequestBody, Upload, buffer_size, receive_request_body};
use crate::sidecar::caller::Persistence;
use crate::sidecar::endpoint::{ForwardedRequest, end_to_end_headers};
use crate::sidecar::memory::MemoryReservation;
use crate::sidecar::metrics::RequestCount;
use crate::sidecar::node::{ActiveSettings, FinalAnswer, NodeHandle, RequestRejected};
use hyper::body::{Body, Incoming};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response, StatusCode};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::TryRecvError;
use tokio::time::{Instant, timeout_at};

/// Forwards a request, returns its response, and counts it for its class.
///
/// # Errors
/// The request is invalid, or its body did not arrive.
pub async fn answer(
    caller: &CallerConnection,
    request: Request<Incoming>,
    begun: Instant,
) -> Result<Reply, RequestError> {
    let mut count = None;
    let mut answer = forward(caller, request, begun, &mut count).await;
    let streamed = answer
        .as_mut()
        .ok()
        .and_then(|reply| match reply.body_mut() {
            ReplyBody::Streamed(streamed) => Some(streamed),
            ReplyBody::Complete(_) => None,
        });
    match (count, streamed) {
        (Some(count), Some(streamed)) => streamed.report_end_to(count, &caller.state),
        (Some(count), None) => {
            count.end(
                answer
                    .as_ref()
                    .map_or_else(|error| error.status, Response::status),
            );
        }
        (None, _) => {}
    }
    answer
}

/// A request whose head has been parsed, with the settings that were in force when it arrived.
struct ParsedRequest {
    request: PolicyRequest,
    settings: Rc<ActiveSettings>,
    /// The position of its class in the settings.
    class: usize,
    /// How long the client waits from the request's last byte on.
    time_left: Duration,
}

async fn forward(
    caller: &CallerConnection,
    request: Request<Incoming>,
    begun: Instant,
    count: &mut Option<RequestCount>,
) -> Result<Reply, RequestError> {
    let node = &caller.node;
    let (head, body) = request.into_parts();
    let mut parsed =
        parse(node, &head, begun).map_err(|error| error.with_body_unread(!body.is_end_stream()))?;
    let count = count.insert(node.borrow().begin_request(&parsed.class().name));
    let Some(memory) = reserve_memory(node, &body) else {
        caller.state.set_persistence(Persistence::Close);
        return Ok(caller.reject_early());
    };
    let persistence = caller.state.persistence();
    let received = receive_request_body(body, begun).await?;
    if received.upload.is_none() {
        count.set_whole();
    }
    parsed.request.deadline = node.borrow().request_deadline(parsed.time_left);
    let timeout = parsed.response_timeout(node, persistence);
    let upload = received.upload.clone();
    let forwarded = parsed.forwarded(head, received, memory);
    let mut pending = match PendingRequest::begin(node, parsed.request, forwarded) {
        Ok(pending) => pending,
        Err(RequestRejected::TooMany) => return Ok(caller.reject_early()),
        Err(RequestRejected::Repeated) => return Err(repeated_id()),
    };
    let answer = match upload {
        None => timeout.wait(&mut pending.answer).await,
        Some(upload) => {
            timeout
                .wait_during_upload(caller, &upload, &mut pending.answer, count)
                .await?
        }
    };
    Ok(pending.reply(answer))
}

/// Reserves the memory that buffering a body can take.
fn reserve_memory(node: &NodeHandle, body: &Incoming) -> Option<MemoryReservation> {
    node.borrow().request_memory().reserve(buffer_size(body))
}

impl ParsedRequest {
    fn class(&self) -> &Class {
        &self.settings.settings.classes[self.class]
    }

    /// Returns how long to wait for the response. `persistence` is that of the connection apart from the upload.
    fn response_timeout(&self, node: &NodeHandle, persistence: Persistence) -> ResponseTimeout {
        let slack = self.settings.settings.rules.answer_slack;
        let until = node.borrow().clock().instant(self.request.deadline) + slack;
        ResponseTimeout {
            until,
            after_upload: self.time_left + slack,
            persistence,
        }
    }

    /// Returns the request as endpoints are sent it.
    fn forwarded(
        &self,
        head: Parts,
        body: ReceivedRequestBody,
        memory: MemoryReservation,
    ) -> ForwardedRequest {
        ForwardedRequest {
            method: head.method,
            path: head
                .uri
                .into_parts()
                .path_and_query
                .unwrap_or(PathAndQuery::from_static("/api")),
            headers: end_to_end_headers(&head.headers),
            body: body.buffered,
            upload: body.upload,
            is_repeatable: self.class().idempotency != Idempotency::Unsafe,
            _memory: memory,
        }
    }
}

/// Parses a head under the current settings, or else under the previous ones if it began to come before the reload.
fn parse(node: &NodeHandle, head: &Parts, begun: Instant) -> Result<ParsedRequest, RequestError> {
    let (now, settings) = {
        let node = node.borrow();
        (
            node.clock().now(),
            node.configuration().settings_for_request(begun),
        )
    };
    let parse_under = |settings: Rc<ActiveSettings>| -> Result<ParsedRequest, RequestError> {
        let mut request = parse_request(&head.method, &head.headers, &settings.settings, now)?;
        let class = request.class.0;
        request.class = settings.classes[class];
        let time_left = request.deadline.since(now);
        Ok(ParsedRequest {
            request,
            settings,
            class,
            time_left,
        })
    };
    parse_under(settings.current).or_else(|error| {
        let previous = settings.previous.map(parse_under);
        previous.and_then(Result::ok).ok_or(error)
    })
}

fn repeated_id() -> RequestError {
    RequestError::new(StatusCode::CONFLICT, "a request with this id is open")
        .with_body_unread(false)
}

/// How long to wait for the final answer.
struct ResponseTimeout {
    /// The end of the wait for a request that has arrived completely.
    until: Instant,
    /// The time from an upload's last byte on.
    after_upload: Duration,
    /// The connection's persistence once the upload is complete.
    persistence: Persistence,
}

impl ResponseTimeout {
    /// Waits for the answer to a complete request. Returns none where there was none in time.
    async fn wait(&self, answer: &mut oneshot::Receiver<FinalAnswer>) -> Option<FinalAnswer> {
        timeout_at(self.until, answer).await.ok()?.ok()
    }

    /// Waits for the answer while the request's body still comes.
    async fn wait_during_upload(
        &self,
        caller: &CallerConnection,
        upload: &Upload,
        answer: &mut oneshot::Receiver<FinalAnswer>,
        count: &mut RequestCount,
    ) -> Result<Option<FinalAnswer>, RequestError> {
        // With a response ahead of the body's end, the start of the next request is not known.
        caller.state.set_persistence(Persistence::Close);
        let answer = pin!(upload.timeout(self.after_upload, answer));
        let failed = async {
            if let Err(error) = upload.wait_until_finished().await {
                return error;
            }
            caller.state.set_persistence(self.persistence);
            count.set_whole();
            std::future::pending().await
        };
        let answer = tokio::select! {
            biased;
            error = failed => return Err(error.into()),
            answer = answer => answer,
        };
        count.set_whole();
        Ok(answer.and_then(Result::ok))
    }
}

/// A request that waits for its final answer. Dropped without one, as when its connection ends, it tells the node that the
/// client has disconnected. Once answered its id may be in use by another request.
struct PendingRequest<'a> {
    node: &'a NodeHandle,
    id: RequestId,
    answer: oneshot::Receiver<FinalAnswer>,
}

impl<'a> PendingRequest<'a> {
    /// Hands a request to the node.
    fn begin(
        node: &'a NodeHandle,
        request: PolicyRequest,
        forwarded: ForwardedRequest,
    ) -> Result<Self, RequestRejected> {
        let id = request.id.clone();
        let answer = node.submit(request, forwarded)?;
        Ok(PendingRequest { node, id, answer })
    }

    /// Returns the response for the answer, or for the lack of one in time.
    fn reply(&self, answer: Option<FinalAnswer>) -> Reply {
        if let Some(answer) = answer {
            return final_reply(answer);
        }
        self.node.deadline_exceeded(&self.id);
        text_reply(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        if self
            .answer
            .try_recv()
            .is_err_and(|error| error == TryRecvError::Empty)
        {
            self.node.client_disconnected(&self.id);
        }
    }
}

#[cfg(test)]
#[path = "forward_tests.rs"]
mod tests;
