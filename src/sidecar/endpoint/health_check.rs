//! Probes: an endpoint is asked for its load report.

use super::attempt_result::AttemptResult;
use super::connect::connect;
use super::connection::Exchange;
use super::forwarded_request::Target;
use super::host::EndpointHost;
use super::request_body::OutgoingBody;
use super::response::EndpointResponse;
use crate::policy::Outcome;
use crate::sidecar::body::ReceivedResponse;
use bytes::Bytes;
use hyper::{Request, Uri};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// A probe that is not answered by then is given up.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Where endpoints give their load reports.
const LOAD_PATH: &str = "/status/load";

/// Asks an endpoint for its load report and tells the host what came of it.
pub async fn check_health(host: impl EndpointHost, target: Target) {
    let sent = Instant::now();
    let result = timeout_at(sent + HEALTH_CHECK_TIMEOUT, ask_load(&host, &target)).await;
    let result = result.unwrap_or(AttemptResult::without_response(Outcome::TimedOut));
    host.health_check_ended(&target, sent.elapsed(), result);
}

async fn ask_load(host: &impl EndpointHost, target: &Target) -> AttemptResult {
    let mut connection = match host.take_connection(&target.endpoint) {
        Some(connection) => connection,
        // It is not worth another's connection.
        None if host.descriptors_exhausted() => {
            return AttemptResult::without_response(Outcome::ConnectFailed);
        }
        None => match connect(host, target.address).await {
            Ok(connection) => connection,
            Err(_) => return AttemptResult::without_response(Outcome::ConnectFailed),
        },
    };
    let body = OutgoingBody::new(Bytes::new(), None, connection.progress().clone());
    let mut request = Request::new(body);
    *request.uri_mut() = Uri::from_static(LOAD_PATH);
    match connection.carry(request, Exchange::HealthCheck).await {
        Ok(EndpointResponse {
            head,
            body: Ok(ReceivedResponse::Whole(body)),
        }) => {
            host.return_connection(connection, target);
            AttemptResult::from_health_check(&head, Some(body))
        }
        Ok(EndpointResponse { head, .. }) => AttemptResult::from_health_check(&head, None),
        Err(_) => AttemptResult::without_response(Outcome::Reset),
    }
}
