//! Forwards one request through the node and returns its response.

use super::caller_connection::CallerConnection;
use super::parsed_request::ParsedRequest;
use super::pending_request::PendingRequest;
use super::reply::{Reply, ReplyBody};
use super::request_error::RequestError;
use crate::sidecar::body::receive_request_body;
use crate::sidecar::caller::Persistence;
use crate::sidecar::counters::EarlyRejection;
use crate::sidecar::metrics::RequestTracker;
use crate::sidecar::node::{RequestSize, SubmitError};
use hyper::body::{Body, Incoming};
use hyper::{Request, Response, StatusCode};
use tokio::time::Instant;

/// Forwards a request, returns its response, and counts the request in the metrics of its class.
///
/// # Errors
/// The request is invalid, or its body could not be received.
pub async fn answer(
    caller: &CallerConnection,
    request: Request<Incoming>,
    started_at: Instant,
) -> Result<Reply, RequestError> {
    let mut tracker = None;
    let mut answer = forward(caller, request, started_at, &mut tracker).await;
    let streamed = answer
        .as_mut()
        .ok()
        .and_then(|reply| match reply.body_mut() {
            ReplyBody::Streamed(streamed) => Some(streamed),
            ReplyBody::Complete(_) => None,
        });
    match (tracker, streamed) {
        (Some(tracker), Some(streamed)) => streamed.report_end_to(tracker, &caller.state),
        (Some(tracker), None) => {
            tracker.end(
                answer
                    .as_ref()
                    .map_or_else(|error| error.status, Response::status),
            );
        }
        (None, _) => {}
    }
    answer
}

/// Forwards a request and returns its response. Sets `tracker` once the request's class is known.
async fn forward(
    caller: &CallerConnection,
    request: Request<Incoming>,
    started_at: Instant,
    tracker: &mut Option<RequestTracker>,
) -> Result<Reply, RequestError> {
    let node = &caller.node;
    let (head, body) = request.into_parts();
    let mut parsed = ParsedRequest::parse(node, &head, started_at)
        .map_err(|error| error.with_body_unread(!body.is_end_stream()))?;
    let tracker = tracker.insert(node.borrow().begin_request(&parsed.class().name));
    let size = RequestSize::new(&head.headers, &body);
    let reserved = node.borrow().reserve_request_memory(size);
    let Some(memory) = reserved else {
        caller.state.set_persistence(Persistence::Close);
        return Ok(caller.reject_early(EarlyRejection::Memory));
    };
    let received = receive_request_body(body, started_at, || caller.upload_deadline()).await?;
    if received.upload.is_none() {
        tracker.mark_received();
    }
    if caller.has_client_left() {
        std::future::pending::<()>().await; // the connection is about to be dropped, as `client_disconnected` ends
    }
    parsed.request.deadline = node.borrow().request_deadline(parsed.time_left);
    let timeout = parsed.response_timeout(node);
    let upload = received.upload.clone();
    let forwarded = parsed.forwarded(head, received, memory.clone());
    let mut pending = match PendingRequest::begin(node, parsed.request, forwarded) {
        Ok(pending) => pending,
        Err(SubmitError::TooManyUnanswered) => {
            return Ok(caller.reject_early(EarlyRejection::OpenRequests));
        }
        Err(SubmitError::DuplicateId) => {
            return Err(id_conflict("a request with this id is open"));
        }
        Err(SubmitError::AlreadySent) => {
            return Err(id_conflict("a request with this id was sent before"));
        }
    };
    let answer = match upload {
        None => timeout.wait(&mut pending.answer).await,
        Some(upload) => {
            timeout
                .wait_during_upload(caller, &upload, &mut pending.answer, tracker)
                .await?
        }
    };
    let mut reply = pending.reply(answer).await;
    if let ReplyBody::Streamed(streamed) = reply.body_mut() {
        streamed.keep_reserved(memory);
    }
    Ok(reply)
}

fn id_conflict(text: &'static str) -> RequestError {
    RequestError::new(StatusCode::CONFLICT, text).with_body_unread(false)
}
