//! Endpoints' responses as they are received, and the check of their framing.

use crate::sidecar::body::{BodyTransferError, MAX_BODY, ReceivedResponse};
use hyper::body::{Body, Incoming};
use hyper::{Response, header};
use thiserror::Error;

/// An endpoint's response as it was received.
#[derive(Debug)]
pub struct EndpointResponse {
    /// Its status and headers.
    pub head: Response<()>,
    /// Its body, or the reason why the body could not be received.
    pub body: Result<ReceivedResponse, BodyTransferError>,
}

/// The reason why a response is not read.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum FramingError {
    /// The response declares its length more than once. Readers that use different lengths see different responses.
    /// hyper itself accepts repeated equal lengths, and chunked encoding together with a length.
    #[error("the response declares more than one length")]
    AmbiguousLength,
    /// The response's declared length is larger than [`MAX_BODY`].
    #[error("the response is too large")]
    TooLarge,
    /// The response's status is 101, after which the connection no longer carries HTTP.
    #[error("the response switches protocols")]
    ProtocolSwitch,
}

/// Checks that a response's framing allows it to be forwarded.
///
/// # Errors
/// Its length is ambiguous or too large, or it switches protocols.
pub fn check_framing(response: &Response<Incoming>) -> Result<(), FramingError> {
    let headers = response.headers();
    let lengths: Vec<_> = headers.get_all(header::CONTENT_LENGTH).iter().collect();
    let is_chunked = headers.contains_key(header::TRANSFER_ENCODING);
    let is_list = lengths.iter().any(|value| value.as_bytes().contains(&b','));
    if lengths.len() + usize::from(is_chunked) > 1 || is_list {
        return Err(FramingError::AmbiguousLength);
    }
    if response.body().size_hint().lower() > MAX_BODY {
        return Err(FramingError::TooLarge);
    }
    if response.status().is_informational() {
        return Err(FramingError::ProtocolSwitch);
    }
    Ok(())
}
