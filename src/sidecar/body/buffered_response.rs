//! Receiving endpoints' responses, completely or up to the limit of buffering.

use super::error::BodyTransferError;
use super::limits::exceeds_buffer;
use crate::sidecar::memory::MemoryReservation;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::time::Duration;
use tokio::time::Instant;

/// The longest time for which the start of a response is held back for the rest of a body whose length is not declared.
/// The rest may be long, and a long response has to begin soon after its first bytes have arrived.
const MAX_HOLD_TIME: Duration = Duration::from_millis(500);
/// The longest hold as a fraction of the time from the first bytes to the end of the wait for the response. An endpoint
/// that still sends after it has time to show that before the wait ends.
const MAX_HOLD_FRACTION: f64 = 0.5;

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
    UpToLimit {
        /// The end of the wait for the response. `None` if a body of undeclared length may take all the time that there
        /// is.
        deadline: Option<Instant>,
    },
    /// Only the first bytes, because there is no memory for more.
    FirstBytes,
}

impl ReceivedResponse {
    /// Keeps the memory of the received bytes reserved until they have been written to the client.
    #[must_use]
    pub fn with_reservation(self, reservation: MemoryReservation) -> Self {
        match self {
            ReceivedResponse::Complete(body) => {
                ReceivedResponse::Complete(reservation.attach(body))
            }
            ReceivedResponse::Partial {
                buffered,
                remaining,
                length,
            } => ReceivedResponse::Partial {
                buffered: reservation.attach(buffered),
                remaining,
                length,
            },
        }
    }
}

impl Buffering {
    /// Returns the time up to which a body whose first bytes arrive now is held back. `None` if that is not limited.
    fn hold_until(self) -> Option<Instant> {
        let Buffering::UpToLimit { deadline } = self else {
            return None;
        };
        let now = Instant::now();
        let time_left = deadline?.saturating_duration_since(now);
        Some(now + MAX_HOLD_TIME.min(time_left.mul_f64(MAX_HOLD_FRACTION)))
    }
}

/// Receives a response body until it is complete or no more of it may be buffered.
///
/// A body whose length is not declared may be long. If more of it arrives after a while, its endpoint still sends, and
/// the body is streamed from then on. If nothing arrives, its endpoint may have stalled, and the caller's wait ends.
///
/// # Errors
/// The connection failed before the response was complete.
pub async fn receive_response(
    mut body: Incoming,
    buffering: Buffering,
) -> Result<ReceivedResponse, BodyTransferError> {
    let length = body.size_hint().exact();
    let mut buffered = BytesMut::new();
    let mut hold_until = None;
    while let Some(frame) = body.frame().await {
        buffered.extend_from_slice(&frame?.into_data().unwrap_or_default());
        let hold_until = *hold_until.get_or_insert_with(|| buffering.hold_until());
        let is_held_too_long =
            length.is_none() && hold_until.is_some_and(|until| Instant::now() >= until);
        let is_complete = length == Some(buffered.len() as u64);
        let may_buffer_more = buffering != Buffering::FirstBytes
            && !exceeds_buffer(length, buffered.len())
            && !is_held_too_long;
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
