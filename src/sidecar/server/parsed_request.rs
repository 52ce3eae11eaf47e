//! Request heads under the settings that they arrived under.

use super::pending_request::ResponseTimeout;
use super::request::parse_request;
use super::request_error::RequestError;
use crate::policy::{Class, Idempotency, Request as PolicyRequest};
use crate::sidecar::body::ReceivedRequestBody;
use crate::sidecar::caller::Persistence;
use crate::sidecar::endpoint::{ForwardedRequest, end_to_end_headers};
use crate::sidecar::memory::MemoryReservation;
use crate::sidecar::node::{ActiveSettings, NodeHandle};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A request whose head has been parsed, with the settings that were in force when it arrived.
pub struct ParsedRequest {
    /// The request as the balancer is given it.
    pub request: PolicyRequest,
    settings: Rc<ActiveSettings>,
    /// The position of its class in the settings.
    class: usize,
    /// How long the client waits from the request's last byte on.
    pub time_left: Duration,
}

impl ParsedRequest {
    /// Parses a head under the current settings, or else under the previous ones if it began to come before the reload.
    ///
    /// # Errors
    /// The head is invalid under the current settings.
    pub fn parse(
        node: &NodeHandle,
        head: &Parts,
        started_at: Instant,
    ) -> Result<Self, RequestError> {
        let (now, settings) = {
            let node = node.borrow();
            (
                node.clock().now(),
                node.configuration().settings_for_request(started_at),
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

    /// The request's class in the settings.
    pub fn class(&self) -> &Class {
        &self.settings.settings.classes[self.class]
    }

    /// Returns how long to wait for the response. `persistence` is that of the connection apart from the upload.
    pub fn response_timeout(&self, node: &NodeHandle, persistence: Persistence) -> ResponseTimeout {
        let slack = self.settings.settings.rules.answer_slack;
        let answer_deadline = node.borrow().clock().instant(self.request.deadline) + slack;
        ResponseTimeout {
            answer_deadline,
            after_upload: self.time_left + slack,
            persistence,
        }
    }

    /// Returns the request as endpoints are sent it.
    pub fn forwarded(
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
