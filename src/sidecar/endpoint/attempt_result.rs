//! Results of attempts and health checks, as derived from endpoints' responses.

use super::forwarded_request::end_to_end_headers;
use super::load_report::parse_load_report;
use super::streamed_response::StreamedResponse;
use crate::policy::{LoadReport, Outcome};
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Response, StatusCode};

/// The header of an endpoint's load report.
const LOAD_HEADER: HeaderName = HeaderName::from_static("x-load");
/// The header whose value `1` states that the endpoint has not run the request.
const NOT_RUN_HEADER: HeaderName = HeaderName::from_static("x-not-run");

/// An endpoint's response that is forwarded to the client.
#[derive(Debug)]
pub struct ServedResponse {
    /// Its headers, without hop-by-hop headers and the load report.
    pub headers: HeaderMap,
    /// Its body.
    pub body: ResponseBody,
}

/// The body of an endpoint's response.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body.
    Complete(Bytes),
    /// A body that is too large to buffer or exceeds the memory budget. It is forwarded while it is received.
    Streamed(Box<StreamedResponse>),
}

/// The result of an attempt or a health check.
#[derive(Debug)]
pub struct AttemptResult {
    /// The outcome that the balancer is given.
    pub outcome: Outcome,
    /// The endpoint's load report, if the response had one.
    pub report: Option<LoadReport>,
    /// The response to forward. Set only for an attempt with [`Outcome::Served`].
    pub response: Option<ServedResponse>,
}

impl AttemptResult {
    /// Creates the result of an attempt or a health check that got no response.
    pub fn without_response(outcome: Outcome) -> Self {
        AttemptResult {
            outcome,
            report: None,
            response: None,
        }
    }

    /// Creates the result of an attempt that got a response. `body` is `None` if the body was not received or is not
    /// forwarded.
    pub fn from_response(head: &Response<()>, body: Option<ResponseBody>) -> Self {
        let (outcome, response) = match (head.status(), body) {
            (StatusCode::OK, Some(body)) => {
                let mut headers = end_to_end_headers(head.headers());
                headers.remove(LOAD_HEADER);
                (Outcome::Served, Some(ServedResponse { headers, body }))
            }
            (StatusCode::OK, None) => (Outcome::Reset, None),
            _ if is_early_rejection(head) => (Outcome::Rejected, None),
            _ => (Outcome::Error, None),
        };
        AttemptResult {
            outcome,
            report: load_report(head.headers()),
            response,
        }
    }

    /// Creates the result of a health check. The load report is read from the header, or else from the body of a served
    /// response.
    pub fn from_health_check(head: &Response<()>, body: Option<Bytes>) -> Self {
        let text = body
            .as_ref()
            .and_then(|bytes| std::str::from_utf8(bytes).ok());
        let report_in_body = text.and_then(parse_load_report);
        let AttemptResult {
            outcome, report, ..
        } = Self::from_response(head, body.map(ResponseBody::Complete));
        let report = report.or(report_in_body.filter(|_| outcome == Outcome::Served));
        AttemptResult {
            outcome,
            report,
            response: None,
        }
    }
}

/// Returns the first valid load report. Malformed ones before it are skipped.
fn load_report(headers: &HeaderMap) -> Option<LoadReport> {
    headers
        .get_all(LOAD_HEADER)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .find_map(parse_load_report)
}

/// Returns whether the response states that the endpoint rejected the request before running any of it.
fn is_early_rejection(head: &Response<()>) -> bool {
    let has_rejection_status = matches!(
        head.status(),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
    );
    has_rejection_status
        && head
            .headers()
            .get(NOT_RUN_HEADER)
            .is_some_and(|value| value == "1")
}

#[cfg(test)]
#[path = "attempt_result_tests.rs"]
mod tests;
