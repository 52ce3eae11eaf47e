//! Receiving endpoints' responses, completely or up to the limit of buffering.

use super::error::BodyTransferError;
use super::limits::exceeds_buffer;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// The received part of a response body.
#[derive(Debug)]
pub enum ReceivedResponse {
    /// The complete body.
    Complete(Bytes),
    /// The start of the body. The rest is to be streamed.
    Partial {
        /// The bytes that have been received.
        buffered: Bytes,
        /// The body, from which the rest is to be read.
        remaining: Incoming,
        /// The length that the response declares.
        length: Option<u64>,
    },
}

/// The amount of a response body that is received before the response is forwarded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Buffering {
    /// Up to [`super::limits::MAX_BUFFERED_BODY`] bytes.
    UpToLimit,
    /// Only the first bytes, because there is no memory for more.
    FirstBytes,
}

/// Receives a response body until it is complete or no more of it may be buffered.
///
/// # Errors
/// The connection failed before the response was complete.
pub async fn receive_response(
    mut body: Incoming,
    buffering: Buffering,
) -> Result<ReceivedResponse, BodyTransferError> {
    let length = body.size_hint().exact();
    let mut buffered = BytesMut::new();
    while let Some(frame) = body.frame().await {
        buffered.extend_from_slice(&frame?.into_data().unwrap_or_default());
        let is_complete = length == Some(buffered.len() as u64);
        let may_buffer_more =
            buffering == Buffering::UpToLimit && !exceeds_buffer(length, buffered.len());
        if !is_complete && !buffered.is_empty() && !may_buffer_more {
            return Ok(ReceivedResponse::Partial {
                buffered: buffered.freeze(),
                remaining: body,
                length,
            });
        }
    }
    Ok(ReceivedResponse::Complete(buffered.freeze()))
}
