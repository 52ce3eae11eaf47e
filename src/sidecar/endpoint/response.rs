//! An endpoint's response as it came.

use crate::sidecar::body::{BodyTransferError, MAX_BODY, ReceivedResponse};
use hyper::body::{Body, Incoming};
use hyper::{Response, header};

/// An endpoint's response as it came.
pub struct EndpointResponse {
    /// Its status and headers.
    pub head: Response<()>,
    /// An error where it came short, or is too large.
    pub body: Result<ReceivedResponse, BodyTransferError>,
}

/// Why an answer's end cannot be known, or is not worth waiting for: a reader that believes one length where the next
/// believes another passes on what is no answer. hyper reads repeated lengths, and chunks in spite of a length.
pub fn framing_problem(head: &Response<Incoming>) -> Option<&'static str> {
    let lengths: Vec<_> = head
        .headers()
        .get_all(header::CONTENT_LENGTH)
        .iter()
        .collect();
    let is_chunked = head.headers().contains_key(header::TRANSFER_ENCODING);
    let is_list = lengths.iter().any(|value| value.as_bytes().contains(&b','));
    if lengths.len() + usize::from(is_chunked) > 1 || is_list {
        return Some("it has more than one length");
    }
    if head.body().size_hint().lower() > MAX_BODY {
        return Some("it is too large");
    }
    head.status()
        .is_informational()
        .then_some("it changes the protocol")
}
