//! Why a request is not taken, in words for whoever wrote the caller.

use super::reply::{Reply, plain};
use crate::sidecar::body::UploadError;
use crate::sidecar::caller::HeadError;
use hyper::StatusCode;
use hyper::header::{self, HeaderValue};

/// Why a request is not taken.
#[derive(Debug)]
pub struct RequestError {
    /// The status that it is answered with.
    pub status: StatusCode,
    text: &'static str,
    allowed_methods: Option<&'static str>,
    /// Its body was not read to the end.
    pub body_is_unread: bool,
}

impl RequestError {
    /// With a status and a text, of a request whose body was not read.
    pub fn new(status: StatusCode, text: &'static str) -> Self {
        RequestError {
            status,
            text,
            allowed_methods: None,
            body_is_unread: true,
        }
    }

    /// Another method is needed.
    pub fn method(allowed: &'static str) -> Self {
        let error = RequestError::new(StatusCode::METHOD_NOT_ALLOWED, "wrong method");
        RequestError {
            allowed_methods: Some(allowed),
            ..error
        }
    }

    /// The same, of a request whose body was not read, or was.
    pub fn with_body_unread(self, body_is_unread: bool) -> Self {
        RequestError {
            body_is_unread,
            ..self
        }
    }

    /// The answer that says so.
    pub fn reply(self) -> Reply {
        let mut reply = plain(self.status, self.text);
        if let Some(allowed) = self.allowed_methods {
            reply
                .headers_mut()
                .insert(header::ALLOW, HeaderValue::from_static(allowed));
        }
        reply
    }
}

impl From<HeadError> for RequestError {
    fn from(head_error: HeadError) -> Self {
        let (status, text) = match head_error {
            HeadError::Framing => (StatusCode::BAD_REQUEST, "the body's length is not clear"),
            HeadError::TooLong => (
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                "the head is over 16 KiB",
            ),
            HeadError::TooSlow => (StatusCode::REQUEST_TIMEOUT, "the head did not come in time"),
        };
        RequestError::new(status, text)
    }
}

impl From<UploadError> for RequestError {
    fn from(error: UploadError) -> Self {
        let (status, text) = match error {
            UploadError::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, "the body is over 40 MiB"),
            UploadError::Incomplete => (StatusCode::BAD_REQUEST, "the body is not whole"),
            UploadError::TooSlow => (StatusCode::REQUEST_TIMEOUT, "the body did not come in time"),
        };
        RequestError::new(status, text)
    }
}
