//! A request for an endpoint, from its head to its answer.

use super::caller_connection::CallerConnection;
use super::reply::{Reply, ReplyBody, plain, reply};
use super::request::parse_request;
use super::request_error::RequestError;
use crate::policy::{Class, Idempotency, Request as PolicyRequest, RequestId};
use crate::sidecar::body::{MAX_BUFFERED_BODY, ReceivedRequestBody, Upload, receive_request_body};
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
use tokio::sync::oneshot::error::{RecvError, TryRecvError};
use tokio::time::{Instant, timeout_at};

/// Forwards a request and answers it, and counts it for its class.
///
/// # Errors
/// Why it is not taken.
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
            ReplyBody::Whole(_) => None,
        });
    match (count, streamed) {
        (Some(count), Some(streamed)) => streamed.count_for(count, &caller.state),
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

/// A request whose head has been read, under the settings that it came under.
struct ParsedRequest {
    request: PolicyRequest,
    settings: Rc<ActiveSettings>,
    /// The position of its class in the settings.
    class: usize,
    /// How long its client waits, from its last byte on.
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
        caller.state.is_last_request.set(true);
        return Ok(caller.reject_early());
    };
    let is_chunked = caller.state.is_last_request.get();
    let received = receive_request_body(body, begun).await?;
    if received.upload.is_none() {
        count.set_whole();
    }
    parsed.request.deadline = node.borrow().request_deadline(parsed.time_left);
    let wait = parsed.wait(node, is_chunked);
    let upload = received.upload.clone();
    let forwarded = parsed.forwarded(head, received, memory);
    let mut pending = match PendingRequest::begin(node, parsed.request, forwarded) {
        Ok(pending) => pending,
        Err(RequestRejected::TooMany) => return Ok(caller.reject_early()),
        Err(RequestRejected::Repeated) => return Err(repeated_id()),
    };
    let answer = match upload {
        None => timeout_at(wait.until, &mut pending.answer).await.ok(),
        Some(upload) => {
            wait.with_upload(caller, &upload, &mut pending.answer, count)
                .await?
        }
    };
    Ok(pending.reply(answer))
}

/// Room for as much of a body as it declares, or as may be kept.
fn reserve_memory(node: &NodeHandle, body: &Incoming) -> Option<MemoryReservation> {
    let length = body.size_hint().exact();
    let most = length.map_or(MAX_BUFFERED_BODY, |length| {
        length.min(MAX_BUFFERED_BODY as u64) as usize
    });
    node.borrow().request_memory().reserve(most)
}

impl ParsedRequest {
    fn class(&self) -> &Class {
        &self.settings.settings.classes[self.class]
    }

    /// How long its answer is waited for.
    fn wait(&self, node: &NodeHandle, is_chunked: bool) -> ResponseTimeout {
        let slack = self.settings.settings.rules.answer_slack;
        let until = node.borrow().clock().instant(self.request.deadline) + slack;
        ResponseTimeout {
            until,
            after_upload: self.time_left + slack,
            is_chunked,
        }
    }

    /// What of it goes on to endpoints.
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
            body: body.kept,
            upload: body.upload,
            is_repeatable: self.class().idempotency != Idempotency::Unsafe,
            _memory: memory,
        }
    }
}

/// Reads a head. Sent before a reload, it may be a request of the settings before alone.
fn parse(node: &NodeHandle, head: &Parts, begun: Instant) -> Result<ParsedRequest, RequestError> {
    let (now, settings) = {
        let node = node.borrow();
        (
            node.clock().now(),
            node.configuration().settings_for_request(begun),
        )
    };
    let under = |settings: Rc<ActiveSettings>| -> Result<ParsedRequest, RequestError> {
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
    under(settings.current)
        .or_else(|error| settings.previous.and_then(|s| under(s).ok()).ok_or(error))
}

fn repeated_id() -> RequestError {
    RequestError::new(StatusCode::CONFLICT, "a request with this id is open")
        .with_body_unread(false)
}

/// How long an answer is waited for.
struct ResponseTimeout {
    until: Instant,
    /// From an upload's last byte on.
    after_upload: Duration,
    /// The connection ends with the request anyway.
    is_chunked: bool,
}

impl ResponseTimeout {
    /// Waits for an answer while the body comes.
    async fn with_upload(
        &self,
        caller: &CallerConnection,
        upload: &Upload,
        answer: &mut oneshot::Receiver<FinalAnswer>,
        count: &mut RequestCount,
    ) -> Result<Option<Result<FinalAnswer, RecvError>>, RequestError> {
        // Answered before it has come whole, the connection ends with the answer.
        caller.state.is_last_request.set(true);
        let answer = pin!(upload.within(self.after_upload, answer));
        let failed = async {
            if let Err(error) = upload.end().await {
                return error;
            }
            caller.state.is_last_request.set(self.is_chunked);
            count.set_whole();
            std::future::pending().await
        };
        let answer = tokio::select! {
            biased;
            error = failed => return Err(error.into()),
            answer = answer => answer,
        };
        count.set_whole();
        Ok(answer)
    }
}

/// A request that waits for its answer. Its connection's end drops it, which is how a client goes. Once it has its answer
/// it is over, and its id may be another request's.
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

    /// The reply that an answer makes, or that there was none in time.
    fn reply(&self, answer: Option<Result<FinalAnswer, RecvError>>) -> Reply {
        if let Some(Ok(answer)) = answer {
            return reply(answer);
        }
        self.node.deadline_exceeded(&self.id);
        plain(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
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
