//! Requests whose heads have been parsed, with the settings that apply to them.

use super::pending_request::ResponseTimeout;
use super::request::parse_request;
use super::request_error::RequestError;
use crate::policy::{Class, Idempotency, Request as PolicyRequest};
use crate::sidecar::body::ReceivedRequestBody;
use crate::sidecar::endpoint::{ForwardedRequest, end_to_end_headers};
use crate::sidecar::memory::RequestMemory;
use crate::sidecar::node::{NodeHandle, ResolvedSettings};
use hyper::http::request::Parts;
use hyper::http::uri::PathAndQuery;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A request whose head has been parsed, with the settings under which it is valid.
pub struct ParsedRequest {
    /// The request in the form that the balancer takes.
    pub request: PolicyRequest,
    /// The settings under which the head was parsed.
    settings: Rc<ResolvedSettings>,
    /// The position of its class among the classes of `settings`.
    class_position: usize,
    /// The time for which the client waits after the request's last byte.
    pub time_left: Duration,
}

impl ParsedRequest {
    /// Parses a head under the current settings. If it is invalid under them and started to arrive before the last
    /// reload or shortly after it, parses it under the previous settings.
    ///
    /// # Errors
    /// The head is invalid under the current settings, and under the previous ones if they may apply.
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
        let parse_under = |settings: Rc<ResolvedSettings>| -> Result<ParsedRequest, RequestError> {
            let mut request = parse_request(&head.method, &head.headers, &settings.values, now)?;
            let class_position = request.class.0;
            request.class = settings.class_ids[class_position];
            let time_left = request.deadline.since(now);
            Ok(ParsedRequest {
                request,
                settings,
                class_position,
                time_left,
            })
        };
        parse_under(settings.current).or_else(|error| {
            let previous = settings.previous.map(parse_under);
            previous.and_then(Result::ok).ok_or(error)
        })
    }

    /// Returns the request's class, as its settings describe it.
    pub fn class(&self) -> &Class {
        &self.settings.values.classes[self.class_position]
    }

    /// Returns the time to wait for the response.
    pub fn response_timeout(&self, node: &NodeHandle) -> ResponseTimeout {
        let slack = self.settings.values.rules.answer_slack;
        let answer_deadline = node.borrow().clock().instant(self.request.deadline) + slack;
        ResponseTimeout {
            answer_deadline,
            time_left: self.time_left,
            slack,
        }
    }

    /// Returns the request in the form that is sent to endpoints.
    pub fn forwarded(
        &self,
        head: Parts,
        body: ReceivedRequestBody,
        memory: RequestMemory,
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
