//! One attempt of a request at an endpoint.

use super::attempt_result::{AttemptResult, ResponseBody};
use super::connect::{connect, report_if_refused};
use super::connection::{EndpointConnection, ExchangeError, ExchangeKind};
use super::forwarded_request::{AttemptSpec, ForwardedRequest};
use super::hedged_dial::dial_hedged;
use super::host::EndpointHost;
use super::request_body::RequestBody;
use super::response::EndpointResponse;
use super::streamed_response::{ResponseStart, StreamedResponse};
use crate::policy::{ListValidity, Outcome};
use crate::sidecar::body::{BufferedExtent, Buffering, ReceivedResponse, Upload, buffer_size};
use hyper::StatusCode;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The minimum time that a response has for its body after its head, also past the attempt's deadline. The endpoint has
/// run the request by then, and may be about to send the rest.
const MIN_BODY_TIME: Duration = Duration::from_millis(300);

/// Makes an attempt and reports its result to the host. Dropping the future closes the attempt's connection.
pub async fn run_attempt(host: impl EndpointHost, spec: AttemptSpec) {
    let attempt = Attempt {
        host: &host,
        spec: &spec,
    };
    let result = attempt.run().await;
    host.attempt_ended(&spec, result);
}

struct Attempt<'a, Host> {
    host: &'a Host,
    spec: &'a AttemptSpec,
}

/// A connection for an attempt, with its origin.
struct AcquiredConnection {
    connection: EndpointConnection,
    origin: ConnectionOrigin,
}

/// The origin of a connection.
#[derive(PartialEq)]
enum ConnectionOrigin {
    /// Taken from the pool. The endpoint may have closed it while it was idle.
    Pool,
    /// Opened for this attempt.
    New,
}

/// The time by which an attempt must have its response.
struct AttemptTimeout<'a> {
    /// The body of the request, if it is streamed. The deadline then counts from the arrival of its last byte.
    upload: Option<&'a Upload>,
    /// The deadline of a request whose body was received before the attempt.
    deadline: Instant,
    /// The time that was left when the attempt was sent.
    time_left: Duration,
}

impl AttemptTimeout<'_> {
    /// Returns the present deadline.
    fn current(&self) -> Instant {
        self.upload.map_or(self.deadline, |upload| {
            upload.deadline().current(self.time_left)
        })
    }

    /// Awaits work up to `extension` after the deadline. Returns `None` once that has passed.
    async fn limit<T>(&self, extension: Duration, work: impl Future<Output = T>) -> Option<T> {
        match self.upload {
            Some(upload) => {
                let deadline = upload.deadline();
                deadline.timeout(self.time_left, extension, work).await
            }
            None => timeout_at(self.deadline + extension, work).await.ok(),
        }
    }
}

impl<Host: EndpointHost> Attempt<'_, Host> {
    async fn run(&self) -> AttemptResult {
        let deadline = self.host.clock().instant(self.spec.deadline);
        let connect_deadline = deadline.min(Instant::now() + self.host.connect_timeout());
        loop {
            let Some(mut acquired) = self.acquire_connection(connect_deadline).await else {
                return AttemptResult::without_response(Outcome::ConnectFailed);
            };
            if !self.host.may_write(self.spec) || self.forwarded().is_consumed() {
                self.host
                    .return_connection(acquired.connection, &self.spec.target);
                return AttemptResult::without_response(Outcome::NotSent);
            }
            if !self.is_allowed_by_list(&acquired.connection) {
                self.host.overdue_list_used();
                return AttemptResult::without_response(Outcome::NotSent);
            }
            self.host.attempt_begins(self.spec);
            let written_before = acquired.connection.progress().bytes_written();
            let failure = match self.exchange(&mut acquired.connection, deadline).await {
                Some(Ok(response)) => {
                    return self.result_of_response(response, acquired.connection);
                }
                Some(Err(_)) => Outcome::Reset,
                None => Outcome::TimedOut,
            };
            let progress = acquired.connection.progress();
            let is_unwritten = progress.bytes_written() == written_before;
            let was_closed_while_idle = failure == Outcome::Reset
                && acquired.origin == ConnectionOrigin::Pool
                && is_unwritten;
            if was_closed_while_idle && !self.forwarded().is_consumed() {
                continue; // no byte was written, so another connection is tried
            }
            return AttemptResult::without_response(if progress.is_complete() {
                failure
            } else {
                Outcome::ConnectFailed
            });
        }
    }

    /// Returns whether the present list allows a request on a connection.
    fn is_allowed_by_list(&self, connection: &EndpointConnection) -> bool {
        match self.host.list_validity() {
            ListValidity::Usable => true,
            ListValidity::KnownProcesses => connection.reaches_known_process(),
            ListValidity::Unusable => false,
        }
    }

    fn forwarded(&self) -> &ForwardedRequest {
        &self.spec.forwarded
    }

    /// Takes an idle connection from the pool or opens a new one. Returns `None` if none was established in time.
    ///
    /// A request that must not run twice always gets a new connection. An endpoint may close an idle connection at any
    /// time, or reset it at the next request. That request may have run by then, so it could not be sent again.
    async fn acquire_connection(&self, deadline: Instant) -> Option<AcquiredConnection> {
        let target = &self.spec.target;
        if self.forwarded().is_repeatable
            && let Some(connection) = self.host.take_connection(&target.endpoint)
        {
            return Some(AcquiredConnection {
                connection,
                origin: ConnectionOrigin::Pool,
            });
        }
        // Only the first dial may evict another connection. A further dial is started only if a descriptor is free.
        let dial = || connect(self.host, target);
        let may_hedge = || !self.host.descriptors_exhausted();
        let connect_timeout = self.host.connect_timeout();
        match dial_hedged(dial, may_hedge, connect_timeout, deadline).await {
            Ok(connection) => Some(AcquiredConnection {
                connection,
                origin: ConnectionOrigin::New,
            }),
            Err(error) => {
                report_if_refused(self.host, target, &error);
                None
            }
        }
    }

    /// Sends the request and receives the response, or the start of it. Returns `None` if it did not arrive by the
    /// deadline.
    async fn exchange(
        &self,
        connection: &mut EndpointConnection,
        deadline: Instant,
    ) -> Option<Result<EndpointResponse, ExchangeError>> {
        let forwarded = self.forwarded();
        let time_left = self.spec.deadline.since(self.host.now());
        let timeout = AttemptTimeout {
            upload: forwarded.upload.as_deref(),
            deadline,
            time_left,
        };
        let progress = connection.progress().clone();
        let body = RequestBody::new(forwarded.body.clone(), forwarded.upload.clone(), progress);
        let request = forwarded.to_request(time_left, body);
        let exchange = connection.exchange(request, ExchangeKind::Attempt);
        let response = match timeout.limit(Duration::ZERO, exchange).await? {
            Ok(response) => response,
            Err(error) => return Some(Err(error)),
        };
        let head_deadline = timeout.current();
        let request_deadline = head_deadline + self.time_after_attempt();
        let extension = body_extension(head_deadline, request_deadline, Instant::now());
        let memory = self.host.response_memory();
        let reservation = memory.reserve(buffer_size(response.body()));
        let buffering = Buffering {
            extent: match &reservation {
                Some(_) => BufferedExtent::UpToLimit,
                None => BufferedExtent::FirstBytes,
            },
            deadline: Some(head_deadline + extension),
        };
        let receive_body = connection.receive_body(response, buffering);
        let Some(mut response) = timeout.limit(extension, receive_body).await else {
            self.log_given_up_in_body();
            return None;
        };
        if let Some(reservation) = reservation {
            response.body = response.body.map(|body| body.with_reservation(reservation));
        }
        Some(Ok(response))
    }

    /// Logs that the endpoint's response had begun and was not received in time.
    fn log_given_up_in_body(&self) {
        log!(
            "request {}: attempt {} at {} timed out in the body of its response",
            self.spec.request.0,
            self.spec.attempt,
            self.spec.target.endpoint.0
        );
    }

    /// Returns how long the client still waits when the attempt times out.
    fn time_after_attempt(&self) -> Duration {
        self.spec.request_deadline.since(self.spec.deadline)
    }

    /// Returns the result of an attempt that got a response. The connection returns to the pool once the response is
    /// complete.
    fn result_of_response(
        &self,
        response: EndpointResponse,
        connection: EndpointConnection,
    ) -> AttemptResult {
        let EndpointResponse { head, body } = response;
        let body = match body {
            Ok(ReceivedResponse::Complete(body)) => {
                self.host.return_connection(connection, &self.spec.target);
                Some(ResponseBody::Complete(body))
            }
            Ok(ReceivedResponse::Partial {
                buffered,
                remaining,
                length,
            }) if head.status() == StatusCode::OK => {
                let (host, target) = (self.host.clone(), self.spec.target.clone());
                let return_connection =
                    move |connection| host.return_connection(connection, &target);
                let start = ResponseStart {
                    request: self.spec.request.clone(),
                    buffered,
                    length,
                    due: self.host.clock().instant(self.spec.request_deadline),
                };
                let streamed =
                    StreamedResponse::new(start, remaining, connection, return_connection);
                Some(ResponseBody::Streamed(Box::new(streamed)))
            }
            Ok(ReceivedResponse::Partial { .. }) | Err(_) => None,
        };
        AttemptResult::from_response(&head, body)
    }
}

/// Returns for how long after the attempt's deadline the body of a response is awaited whose head has arrived now: for
/// [`MIN_BODY_TIME`] from now, but not past the deadline of the request.
fn body_extension(deadline: Instant, request_deadline: Instant, now: Instant) -> Duration {
    let until = request_deadline.min(now + MIN_BODY_TIME);
    until.saturating_duration_since(deadline)
}

#[cfg(test)]
#[path = "attempt_tests.rs"]
mod tests;
