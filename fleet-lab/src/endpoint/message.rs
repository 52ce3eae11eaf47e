//! Parsing of requests to an endpoint, and serialization of its responses.

use super::work::LoadReport;
use bytes::{Buf, BytesMut};
use std::io::Write;
use std::time::Duration;

/// The largest number of headers of a request to an endpoint, or of a sidecar's response.
pub(super) const MAX_HEADERS: usize = 64;

/// The buffer capacity for one read, in bytes.
pub(super) const READ_BYTES: usize = 1024;
/// The longest head of a request or of a sidecar's response, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The longest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// A complete request.
#[derive(Debug)]
pub(super) struct Request {
    pub method: String,
    pub path: String,
    /// True if it has an `X-Request-Id` that is not empty.
    pub has_id: bool,
    /// The request class, from `X-Class`.
    pub class: Option<String>,
    /// The time that the client waits, from `X-Deadline`. It counts from the request's arrival.
    pub time_left: Option<Duration>,
    /// True if the client wants the connection closed after the response.
    pub closes_connection: bool,
    pub body: Vec<u8>,
}

/// A request that is rejected because it is malformed or not supported.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub(super) enum RequestError {
    /// It is not HTTP/1.1, or the value of a header is invalid.
    #[error("malformed request")]
    Malformed,
    /// It has a `Transfer-Encoding`. Chunked bodies are not supported.
    #[error("length required")]
    LengthRequired,
    /// Its head or its body is too long.
    #[error("request too large")]
    TooLarge,
}

impl Request {
    /// Removes a request from the front of the buffer and returns it; `None` while it is incomplete.
    pub fn take(buffer: &mut BytesMut) -> Result<Option<Self>, RequestError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let status = head.parse(buffer).map_err(|_| RequestError::Malformed)?;
        let httparse::Status::Complete(head_length) = status else {
            return if buffer.len() > MAX_HEAD_BYTES {
                Err(RequestError::TooLarge)
            } else {
                Ok(None)
            };
        };
        let (mut request, body_length) = Self::from_head(&head)?;
        if buffer.len() < head_length + body_length {
            return Ok(None);
        }
        buffer.advance(head_length);
        request.body.extend_from_slice(&buffer[..body_length]);
        buffer.advance(body_length);
        Ok(Some(request))
    }

    /// Returns the request without its body, and the length of the body.
    fn from_head(head: &httparse::Request<'_, '_>) -> Result<(Self, usize), RequestError> {
        let mut request = Request {
            method: head.method.unwrap_or_default().to_owned(),
            path: head.path.unwrap_or_default().to_owned(),
            has_id: false,
            class: None,
            time_left: None,
            closes_connection: head.version == Some(0),
            body: Vec::new(),
        };
        let mut body_length = 0;
        for header in head.headers.iter() {
            let value = str::from_utf8(header.value).map_err(|_| RequestError::Malformed)?;
            let is_header = |name: &str| header.name.eq_ignore_ascii_case(name);
            if is_header("x-request-id") {
                request.has_id = !value.is_empty();
            } else if is_header("x-class") {
                request.class = Some(value.to_owned());
            } else if is_header("x-deadline") {
                request.time_left = Some(parse_seconds(value)?);
            } else if is_header("connection") {
                request.closes_connection = value.eq_ignore_ascii_case("close");
            } else if is_header("content-length") {
                body_length = value.parse().map_err(|_| RequestError::Malformed)?;
            } else if is_header("transfer-encoding") {
                return Err(RequestError::LengthRequired);
            }
        }
        if body_length > MAX_BODY_BYTES {
            return Err(RequestError::TooLarge);
        }
        Ok((request, body_length))
    }
}

/// Parses a time in seconds with decimals. A negative time counts as zero.
fn parse_seconds(text: &str) -> Result<Duration, RequestError> {
    let seconds: f64 = text.parse().map_err(|_| RequestError::Malformed)?;
    Duration::try_from_secs_f64(seconds.max(0.0)).map_err(|_| RequestError::Malformed)
}

/// An endpoint's response to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ServerResponse {
    /// 200 with a body of the configured size.
    Served,
    /// 200 to a health check at `/health`.
    Healthy,
    /// 200 to a health check at `/status/load`, with the load report as the body.
    Load,
    /// 500: the work or the call to the next tier failed.
    Failed,
    /// 503 with `X-Not-Run: 1`: the request was rejected without work.
    NotRun,
    /// 404: the request has no id, or it is a health check and the endpoint does not support those.
    NotFound,
    /// 400, 411 or 413: the request was malformed or not supported.
    Rejected(RequestError),
}

/// The panic message for a failed write to a buffer in memory, which does not occur.
const WRITE_CANNOT_FAIL: &str = "writing to a buffer in memory cannot fail";

impl ServerResponse {
    /// Appends the serialized response to the output. `served_body` is the body of [`ServerResponse::Served`].
    pub fn write(
        self,
        output: &mut Vec<u8>,
        served_body: &[u8],
        report: Option<LoadReport>,
        closes_connection: bool,
    ) {
        let report_text = if self == ServerResponse::Load {
            report.map(|report| report.to_string())
        } else {
            None
        };
        let body = match self {
            ServerResponse::Served => served_body,
            ServerResponse::Load => report_text.as_deref().unwrap_or_default().as_bytes(),
            _ => b"",
        };
        write!(
            output,
            "HTTP/1.1 {}\r\nContent-Length: {}\r\n",
            self.status(),
            body.len()
        )
        .expect(WRITE_CANNOT_FAIL);
        if let Some(report) = report {
            write!(output, "X-Load: {report}\r\n").expect(WRITE_CANNOT_FAIL);
        }
        if self == ServerResponse::NotRun {
            output.extend_from_slice(b"X-Not-Run: 1\r\n");
        }
        if closes_connection {
            output.extend_from_slice(b"Connection: close\r\n");
        }
        output.extend_from_slice(b"\r\n");
        output.extend_from_slice(body);
    }

    /// Returns the status code with its reason phrase.
    fn status(self) -> &'static str {
        match self {
            ServerResponse::Served | ServerResponse::Healthy | ServerResponse::Load => "200 OK",
            ServerResponse::Failed => "500 Internal Server Error",
            ServerResponse::NotRun => "503 Service Unavailable",
            ServerResponse::NotFound => "404 Not Found",
            ServerResponse::Rejected(RequestError::Malformed) => "400 Bad Request",
            ServerResponse::Rejected(RequestError::LengthRequired) => "411 Length Required",
            ServerResponse::Rejected(RequestError::TooLarge) => "413 Content Too Large",
        }
    }
}
