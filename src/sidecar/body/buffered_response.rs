//! Receiving endpoints' responses: completely, or as far as they are buffered.

use super::error::BodyTransferError;
use super::limits::exceeds_buffer;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// A response body as far as it has been received.
#[derive(Debug)]
pub enum ReceivedResponse {
    /// All of it.
    Complete(Bytes),
    /// Its beginning; the rest is to be streamed.
    Partial {
        /// What has been received.
        buffered: Bytes,
        /// What is still to come.
        remaining: Incoming,
        /// The length that the response declares.
        length: Option<u64>,
    },
}

/// How much of a response is received before it is passed on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Buffering {
    /// Up to [`super::limits::MAX_BUFFERED_BODY`] bytes.
    UpToLimit,
    /// Its first bytes alone: there is no memory for more.
    FirstBytes,
}

/// Receives a response until it is complete, or as far as it may be buffered.
///
/// # Errors
/// The response broke off.
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
