//! Health checks, each of which requests an endpoint's load report.

use super::attempt_result::AttemptResult;
use super::connect::{connect, report_if_refused};
use super::connection::ExchangeKind;
use super::forwarded_request::EndpointProcess;
use super::host::EndpointHost;
use super::request_body::RequestBody;
use super::response::EndpointResponse;
use crate::policy::Outcome;
use crate::sidecar::body::{BufferedExtent, Buffering, ReceivedResponse};
use bytes::Bytes;
use hyper::{Request, Uri};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The maximum time of a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// The path at which endpoints publish their load reports.
const LOAD_PATH: &str = "/status/load";

/// Makes a health check and reports its result to the host.
pub async fn check_health(host: impl EndpointHost, target: EndpointProcess) {
    let sent_at = Instant::now();
    let fetch = fetch_load_report(&host, &target);
    let result = timeout_at(sent_at + HEALTH_CHECK_TIMEOUT, fetch)
        .await
        .unwrap_or(AttemptResult::without_response(Outcome::TimedOut));
    host.health_check_ended(&target, sent_at.elapsed(), result);
}

async fn fetch_load_report(host: &impl EndpointHost, target: &EndpointProcess) -> AttemptResult {
    let mut connection = match host.take_connection(&target.endpoint) {
        Some(connection) => connection,
        // Unlike an attempt, a health check does not evict other connections.
        None if host.descriptors_exhausted() => {
            return AttemptResult::without_response(Outcome::ConnectFailed);
        }
        None => match connect(host, target).await {
            Ok(connection) => connection,
            Err(error) => {
                report_if_refused(host, target, &error);
                return AttemptResult::without_response(Outcome::ConnectFailed);
            }
        },
    };
    let body = RequestBody::new(Bytes::new(), None, connection.progress().clone());
    let mut request = Request::new(body);
    *request.uri_mut() = Uri::from_static(LOAD_PATH);
    let Ok(response) = connection
        .exchange(request, ExchangeKind::HealthCheck)
        .await
    else {
        return AttemptResult::without_response(Outcome::Reset);
    };
    let buffering = Buffering {
        extent: BufferedExtent::UpToLimit,
        deadline: None,
    };
    match connection.receive_body(response, buffering).await {
        EndpointResponse {
            head,
            body: Ok(ReceivedResponse::Complete(body)),
        } => {
            host.return_connection(connection, target);
            AttemptResult::from_health_check(&head, Some(body))
        }
        EndpointResponse { head, .. } => AttemptResult::from_health_check(&head, None),
    }
}
