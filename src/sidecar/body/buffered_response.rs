//! Endpoints' answers: received whole, or as far as they are kept.

use super::limits::{BodyTransferError, MAX_BUFFERED_BODY};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// What is kept of an answer, and what is to come of it.
pub enum ReceivedResponse {
    /// All of it.
    Whole(Bytes),
    /// Its beginning.
    Begun {
        /// What has come.
        first: Bytes,
        /// What is to come.
        rest: Incoming,
        /// The length that it declares.
        length: Option<u64>,
    },
}

/// Receives an endpoint's answer until it is whole, or no more of it can be kept; where there is no room to `keep` it,
/// until it has begun.
///
/// # Errors
/// It broke off.
pub async fn receive_response(
    mut body: Incoming,
    keep: bool,
) -> Result<ReceivedResponse, BodyTransferError> {
    let length = body.size_hint().exact();
    let mut first = BytesMut::new();
    while let Some(frame) = body.frame().await {
        first.extend_from_slice(&frame?.into_data().unwrap_or_default());
        let is_large = first.len() > MAX_BUFFERED_BODY
            || length.is_some_and(|length| length > MAX_BUFFERED_BODY as u64);
        let is_whole = length == Some(first.len() as u64);
        if !is_whole && !first.is_empty() && (is_large || !keep) {
            return Ok(ReceivedResponse::Begun {
                first: first.freeze(),
                rest: body,
                length,
            });
        }
    }
    Ok(ReceivedResponse::Whole(first.freeze()))
}
