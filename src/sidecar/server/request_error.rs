//! Errors in callers' requests, with texts for the developers of callers.

use super::reply::{Reply, text_reply};
use crate::sidecar::body::UploadError;
use crate::sidecar::caller::HeadError;
use hyper::StatusCode;
use hyper::header::{self, HeaderValue};

/// An error in a request, which is therefore answered with an error status.
#[derive(Debug)]
pub struct RequestError {
    /// The status of the response.
    pub status: StatusCode,
    /// The body of the response.
    text: &'static str,
    allowed_methods: Option<&'static str>,
    /// True if the request's body was not read to its end.
    pub body_is_unread: bool,
}

impl RequestError {
    /// Creates an error in a request whose body was not read to its end.
    pub fn new(status: StatusCode, text: &'static str) -> Self {
        RequestError {
            status,
            text,
            allowed_methods: None,
            body_is_unread: true,
        }
    }

    /// Creates the error for a method that the path does not allow. `allowed` lists the methods that it allows.
    pub fn method_not_allowed(allowed: &'static str) -> Self {
        let error = RequestError::new(StatusCode::METHOD_NOT_ALLOWED, "wrong method");
        RequestError {
            allowed_methods: Some(allowed),
            ..error
        }
    }

    /// Sets whether the request's body was not read to its end.
    pub fn with_body_unread(self, body_is_unread: bool) -> Self {
        RequestError {
            body_is_unread,
            ..self
        }
    }

    /// Returns the response that reports the error.
    pub fn reply(self) -> Reply {
        let mut reply = text_reply(self.status, self.text);
        if let Some(allowed) = self.allowed_methods {
            reply
                .headers_mut()
                .insert(header::ALLOW, HeaderValue::from_static(allowed));
        }
        reply
    }
}

impl From<HeadError> for RequestError {
    fn from(error: HeadError) -> Self {
        let (status, text) = match error {
            HeadError::AmbiguousFraming => {
                (StatusCode::BAD_REQUEST, "the body's length is not clear")
            }
            HeadError::TooLong => (
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                "the head is over 16 KiB",
            ),
            HeadError::TooSlow => (StatusCode::REQUEST_TIMEOUT, "the head did not come in time"),
            HeadError::NoMemory => (
                StatusCode::SERVICE_UNAVAILABLE,
                "there is no memory for the head",
            ),
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
