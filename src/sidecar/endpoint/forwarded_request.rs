//! Requests as they go on to endpoints.

use super::request_body::OutgoingBody;
use crate::policy::{AttemptNumber, EndpointId, RequestId, Timestamp};
use crate::sidecar::body::Upload;
use crate::sidecar::memory::MemoryReservation;
use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, Uri, header};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long whoever asks will wait, in seconds.
pub const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-deadline");

/// What of a request goes on to endpoints, the same in each attempt.
pub struct ForwardedRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: PathAndQuery,
    /// Without those that belong to the caller's connection.
    pub headers: HeaderMap,
    /// As far as it is kept.
    pub body: Bytes,
    /// The rest, where it is too large to be kept.
    pub upload: Option<Rc<Upload>>,
    /// It does no harm twice, so that an attempt that may have run can be followed by another.
    pub is_repeatable: bool,
    /// The memory that the body takes.
    pub _memory: MemoryReservation,
}

/// Where an attempt or a probe goes.
#[derive(Clone)]
pub struct Target {
    /// Which endpoint.
    pub endpoint: EndpointId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Which of the endpoint's processes it is meant for.
    pub started_at: Option<Timestamp>,
}

/// An attempt to be made.
pub struct AttemptSpec {
    /// Of which request.
    pub request: RequestId,
    /// Which attempt of it.
    pub attempt: AttemptNumber,
    /// Where it goes.
    pub target: Target,
    /// How long its answer is waited for.
    pub until: Timestamp,
    /// What it sends.
    pub forwarded: Rc<ForwardedRequest>,
}

impl ForwardedRequest {
    /// Whether some of it has gone on that is kept nowhere, so that no further attempt can be made.
    pub fn is_consumed(&self) -> bool {
        self.upload
            .as_ref()
            .is_some_and(|upload| upload.is_consumed())
    }

    /// The request of one attempt, with what is left of its time.
    pub fn request(&self, left: Duration, body: OutgoingBody) -> Request<OutgoingBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.path.clone());
        *request.headers_mut() = self.headers.clone();
        if self
            .upload
            .as_ref()
            .is_some_and(|upload| upload.length().is_none())
        {
            request.headers_mut().insert(
                header::TRANSFER_ENCODING,
                HeaderValue::from_static("chunked"),
            );
        }
        if let Ok(left) = HeaderValue::from_str(&format!("{:.3}", left.as_secs_f64())) {
            request.headers_mut().insert(DEADLINE_HEADER, left);
        }
        request
    }
}

/// A copy of a message's headers without those that belong to its connection, or that the next one sets itself.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    const HOP_BY_HOP: [HeaderName; 10] = [
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
    let mut kept = headers.clone();
    for named in headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
    {
        for name in named.split(',').map(str::trim) {
            kept.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        drop(kept.remove(name));
    }
    kept
}
