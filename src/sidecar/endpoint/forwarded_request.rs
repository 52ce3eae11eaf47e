//! Requests as they are forwarded to endpoints.

use super::request_body::RequestBody;
use crate::policy::{AttemptNumber, EndpointId, RequestId, Timestamp};
use crate::sidecar::body::Upload;
use crate::sidecar::memory::RequestMemory;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Uri, header};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The header that states how long the sender of a request waits for its response, in seconds.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline");

/// Headers that belong to a connection and not to the message, or that hyper sets itself.
const HOP_BY_HOP_HEADERS: [HeaderName; 10] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// The part of a request that is forwarded to endpoints. It is the same in each attempt.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: PathAndQuery,
    /// Its headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The buffered part of its body: all of it, or the start of it if there is an upload.
    pub body: Bytes,
    /// The rest of a body that is too large to be buffered.
    pub upload: Option<Rc<Upload>>,
    /// True if the request may run twice. Another attempt can then follow one that may have run.
    pub is_repeatable: bool,
    /// The reservation of the memory that the request takes.
    pub _memory: RequestMemory,
}

/// An endpoint's process as the endpoint list describes it: the target of an attempt or a health check.
#[derive(Clone, Debug)]
pub struct EndpointProcess {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The address that the process listens on.
    pub address: SocketAddr,
    /// The time at which the process was started, if the list states it. It distinguishes the process from earlier ones
    /// of the same endpoint.
    pub started_at: Option<Timestamp>,
}

/// An attempt to be made.
#[derive(Debug)]
pub struct AttemptSpec {
    /// The request that it belongs to.
    pub request: RequestId,
    /// Its number among the request's attempts.
    pub attempt: AttemptNumber,
    /// The process to which it is sent.
    pub target: EndpointProcess,
    /// The time at which it times out.
    pub deadline: Timestamp,
    /// The deadline of the request, which is not before that of the attempt.
    pub request_deadline: Timestamp,
    /// The request as it is sent.
    pub forwarded: Rc<ForwardedRequest>,
}

impl ForwardedRequest {
    /// Returns whether an attempt has begun to stream the part of the body that is not buffered. No other attempt can
    /// be made then.
    pub fn is_consumed(&self) -> bool {
        self.upload
            .as_ref()
            .is_some_and(|upload| upload.is_consumed())
    }

    /// Creates the HTTP request of an attempt. Its deadline header states `time_left`.
    pub fn to_request(&self, time_left: Duration, body: RequestBody) -> Request<RequestBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.path.clone());
        *request.headers_mut() = self.headers.clone();
        if self.has_unknown_length() {
            request.headers_mut().insert(
                header::TRANSFER_ENCODING,
                HeaderValue::from_static("chunked"),
            );
        }
        let deadline = format!("{:.3}", time_left.as_secs_f64());
        if let Ok(deadline) = HeaderValue::from_str(&deadline) {
            request.headers_mut().insert(DEADLINE_HEADER, deadline);
        }
        request
    }

    fn has_unknown_length(&self) -> bool {
        self.upload
            .as_ref()
            .is_some_and(|upload| upload.length().is_none())
    }
}

/// Returns a message's headers without the hop-by-hop ones. Those that its Connection header names are hop-by-hop too.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut end_to_end = headers.clone();
    let connection_values = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok());
    for name in connection_values.flat_map(|value| value.split(',')) {
        end_to_end.remove(name.trim());
    }
    for name in &HOP_BY_HOP_HEADERS {
        end_to_end.remove(name);
    }
    end_to_end
}
