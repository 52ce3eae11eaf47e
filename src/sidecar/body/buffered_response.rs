//! Receiving endpoints' responses, completely or up to the limit of buffering.

use super::error::BodyTransferError;
use super::limits::exceeds_buffer;
use crate::sidecar::memory::MemoryReservation;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// The longest time for which the start of a long response is held back after its head. A long response has to begin soon,
/// whenever its endpoint sends the rest.
const MAX_HOLD_TIME: Duration = Duration::from_millis(500);
/// The longest hold as a fraction of the time from the head to the end of the wait for the response, so that the response
/// begins before that.
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

/// How much of a response body is received before the response is forwarded, and for how long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Buffering {
    /// The part of the body.
    pub extent: BufferedExtent,
    /// The end of the wait for the response. `None` if a body may take all the time that there is.
    pub deadline: Option<Instant>,
}

/// The part of a response body that is received before the response is forwarded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BufferedExtent {
    /// Up to [`super::limits::MAX_BUFFERED_BODY`] bytes.
    UpToLimit,
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
    /// Returns the time up to which a response whose head has arrived now is held back. `None` if that is not limited.
    fn hold_until(self) -> Option<Instant> {
        let now = Instant::now();
        let time_left = self.deadline?.saturating_duration_since(now);
        Some(now + MAX_HOLD_TIME.min(time_left.mul_f64(MAX_HOLD_FRACTION)))
    }
}

/// Receives a response body until it is complete, no more of it may be buffered, or it was held back for too long.
///
/// Only a body that may be too large to be buffered is streamed after a hold: one that declares such a length, or none. Its
/// endpoint has run the request, and is not cut off however late it sends the body. A short body of declared length is
/// awaited, so that a response that breaks off is noticed in time for another attempt.
///
/// # Errors
/// The connection failed before the response was complete.
pub async fn receive_response(
    mut body: Incoming,
    buffering: Buffering,
) -> Result<ReceivedResponse, BodyTransferError> {
    let length = body.size_hint().exact();
    let may_be_long = length.is_none() || exceeds_buffer(length, 0);
    let hold_until = buffering.hold_until().filter(|_| may_be_long);
    let mut buffered = BytesMut::new();
    loop {
        let frame = match hold_until {
            None => body.frame().await,
            Some(until) => match timeout_at(until, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => break,
            },
        };
        let Some(frame) = frame else {
            return Ok(ReceivedResponse::Complete(buffered.freeze()));
        };
        buffered.extend_from_slice(&frame?.into_data().unwrap_or_default());
        if length == Some(buffered.len() as u64) {
            continue; // complete, as the next frame shows
        }
        let is_full = buffering.extent == BufferedExtent::FirstBytes
            || exceeds_buffer(length, buffered.len());
        if is_full && !buffered.is_empty() {
            break;
        }
    }
    Ok(ReceivedResponse::Partial {
        buffered: buffered.freeze(),
        remaining: body,
        length,
    })
}
