//! One attempt of a request at an endpoint.

use super::attempt_result::{AttemptResult, ResponseBody};
use super::connect::connect;
use super::connection::{EndpointConnection, Exchange};
use super::forwarded_request::{AttemptSpec, ForwardedRequest};
use super::hedged_dial::hedged;
use super::host::EndpointHost;
use super::request_body::OutgoingBody;
use super::response::EndpointResponse;
use super::streamed_response::StreamedResponse;
use crate::policy::Outcome;
use crate::sidecar::body::{BodyTransferError, ReceivedResponse};
use hyper::StatusCode;
use tokio::time::{Instant, timeout_at};

/// Makes an attempt and tells the host how it ended. Dropped midway, it closes its connection.
pub async fn run_attempt(host: impl EndpointHost, order: AttemptSpec) {
    let result = Attempt {
        host: &host,
        order: &order,
    }
    .run()
    .await;
    host.attempt_ended(&order, result);
}

struct Attempt<'a, Host> {
    host: &'a Host,
    order: &'a AttemptSpec,
}

/// A connection for an attempt.
struct Acquired {
    connection: EndpointConnection,
    /// It carried another attempt before.
    is_reused: bool,
}

impl<Host: EndpointHost> Attempt<'_, Host> {
    async fn run(&self) -> AttemptResult {
        let until = self.host.clock().instant(self.order.until);
        let connect_until = until.min(Instant::now() + self.host.connect_timeout());
        loop {
            let Some(mut acquired) = self.acquire(connect_until).await else {
                return AttemptResult::without_response(Outcome::ConnectFailed);
            };
            if !self.host.may_write(self.order) || self.forwarded().is_consumed() {
                self.host
                    .return_connection(acquired.connection, &self.order.target);
                return AttemptResult::without_response(Outcome::NotSent);
            }
            let written_before = acquired.connection.progress().written();
            let response = self.exchange(&mut acquired.connection, until).await;
            let progress = acquired.connection.progress();
            let is_unwritten = progress.written() == written_before;
            let outcome = match response {
                Some(Ok(response)) => return self.answered(response, acquired.connection),
                // It had been closed while it stood idle, and the attempt has yet to begin.
                Some(Err(_))
                    if is_unwritten && acquired.is_reused && !self.forwarded().is_consumed() =>
                {
                    continue;
                }
                Some(Err(_)) | None if !progress.is_whole() => Outcome::ConnectFailed,
                Some(Err(_)) => Outcome::Reset,
                None => Outcome::TimedOut,
            };
            return AttemptResult::without_response(outcome);
        }
    }

    fn forwarded(&self) -> &ForwardedRequest {
        &self.order.forwarded
    }

    /// An idle connection or a new one. An endpoint may close a kept connection whenever it likes, or reset it at the next
    /// request; that request may have run for all one knows. One that must not run twice is lost with it, so it gets a new
    /// connection.
    async fn acquire(&self, until: Instant) -> Option<Acquired> {
        let target = &self.order.target;
        if self.forwarded().is_repeatable
            && let Some(connection) = self.host.take_connection(&target.endpoint)
        {
            return Some(Acquired {
                connection,
                is_reused: true,
            });
        }
        // Only the first dial may take room from idle connections and callers.
        let dial = || connect(self.host, target.address);
        let may_hedge = || !self.host.descriptors_exhausted();
        let connection = hedged(dial, may_hedge, self.host.connect_timeout(), until).await?;
        Some(Acquired {
            connection,
            is_reused: false,
        })
    }

    /// Sends the request and receives the answer, or its beginning; `None` where it did not come in time.
    async fn exchange(
        &self,
        connection: &mut EndpointConnection,
        until: Instant,
    ) -> Option<Result<EndpointResponse, BodyTransferError>> {
        let forwarded = self.forwarded();
        let left = self.order.until.since(self.host.now());
        let memory = self.host.answer_memory();
        let progress = connection.progress().clone();
        let body = OutgoingBody::new(forwarded.body.clone(), forwarded.upload.clone(), progress);
        let carried = connection.carry(forwarded.request(left, body), Exchange::Attempt(&memory));
        match &forwarded.upload {
            Some(upload) => upload.within(left, carried).await,
            None => timeout_at(until, carried).await.ok(),
        }
    }

    fn answered(
        &self,
        response: EndpointResponse,
        connection: EndpointConnection,
    ) -> AttemptResult {
        let EndpointResponse { head, body } = response;
        let body = match body {
            Ok(ReceivedResponse::Whole(body)) => {
                self.host.return_connection(connection, &self.order.target);
                Some(ResponseBody::Whole(body))
            }
            Ok(ReceivedResponse::Begun {
                first,
                rest,
                length,
            }) if head.status() == StatusCode::OK => {
                let (host, target) = (self.host.clone(), self.order.target.clone());
                let return_connection =
                    move |connection| host.return_connection(connection, &target);
                let streamed_response =
                    StreamedResponse::new(first, rest, length, connection, return_connection);
                Some(ResponseBody::Streamed(Box::new(streamed_response)))
            }
            Ok(ReceivedResponse::Begun { .. }) | Err(_) => None,
        };
        AttemptResult::from_response(&head, body)
    }
}
