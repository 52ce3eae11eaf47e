//! What an endpoint's response means for its attempt.

use super::forwarded_request::end_to_end_headers;
use super::load_report::parse_load_report;
use super::streamed_response::StreamedResponse;
use crate::policy::{LoadReport, Outcome};
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName};
use hyper::{Response, StatusCode};

const LOAD: HeaderName = HeaderName::from_static("x-load");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// An endpoint's answer to pass on.
pub struct ServedResponse {
    /// Without those that belong to the endpoint's connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: ResponseBody,
}

/// The body of an endpoint's answer.
pub enum ResponseBody {
    /// All of it.
    Whole(Bytes),
    /// Too large to be kept, or there is no room to keep it: it goes on as it comes.
    Streamed(Box<StreamedResponse>),
}

/// How an attempt or a probe ended.
pub struct AttemptResult {
    /// How it ended.
    pub outcome: Outcome,
    /// The endpoint's load report, if one came along.
    pub report: Option<LoadReport>,
    /// With [`Outcome::Served`] of an attempt.
    pub answer: Option<ServedResponse>,
}

impl AttemptResult {
    /// The end of one that got no answer.
    pub fn without_response(outcome: Outcome) -> Self {
        AttemptResult {
            outcome,
            report: None,
            answer: None,
        }
    }

    /// The end of an attempt whose answer has this head; its body is none where it was not to be had.
    pub fn from_response(head: &Response<()>, body: Option<ResponseBody>) -> Self {
        let (status, headers) = (head.status(), head.headers());
        let mut reports = headers
            .get_all(LOAD)
            .iter()
            .filter_map(|value| value.to_str().ok());
        let report = reports.find_map(parse_load_report); // one that cannot be read may stand beside one that can
        let has_not_run = headers.get(NOT_RUN).is_some_and(|value| value == "1");
        let rejected_early = matches!(
            status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
        );
        let (outcome, answer) = match (status, body) {
            (StatusCode::OK, Some(body)) => {
                let mut headers = end_to_end_headers(headers);
                headers.remove(LOAD);
                (Outcome::Served, Some(ServedResponse { headers, body }))
            }
            (StatusCode::OK, None) => (Outcome::Reset, None),
            _ if rejected_early && has_not_run => (Outcome::Rejected, None),
            _ => (Outcome::Error, None),
        };
        AttemptResult {
            outcome,
            report,
            answer,
        }
    }

    /// The end of a probe, whose answer is the report.
    pub fn from_health_check(head: &Response<()>, body: Option<Bytes>) -> Self {
        let text = body
            .as_ref()
            .and_then(|bytes| std::str::from_utf8(bytes).ok());
        let in_body = text.and_then(parse_load_report);
        let AttemptResult {
            outcome, report, ..
        } = Self::from_response(head, body.map(ResponseBody::Whole));
        let report = report.or(in_body.filter(|_| outcome == Outcome::Served));
        AttemptResult {
            outcome,
            report,
            answer: None,
        }
    }
}

#[cfg(test)]
#[path = "attempt_result_tests.rs"]
mod tests;
