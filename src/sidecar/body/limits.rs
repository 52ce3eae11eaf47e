//! Size limits of bodies.

use hyper::body::{Body, Incoming};

/// The largest request or response body that is buffered completely, in bytes.
pub const MAX_BUFFERED_BODY: usize = 64 << 10;
/// The largest request or response body that is accepted, in bytes. It is a quarter above the largest that the protocol
/// allows.
pub const MAX_BODY: u64 = 40 << 20;

/// Returns the maximum memory in bytes that buffering this body takes.
pub fn buffer_size(body: &Incoming) -> usize {
    body.size_hint()
        .exact()
        .and_then(|length| usize::try_from(length).ok())
        .map_or(MAX_BUFFERED_BODY, |length| length.min(MAX_BUFFERED_BODY))
}

/// Returns whether a body is too large to be buffered. `length` is its declared length, `received` the number of bytes
/// received so far.
pub fn exceeds_buffer(length: Option<u64>, received: usize) -> bool {
    received > MAX_BUFFERED_BODY || length.is_some_and(|length| length > MAX_BUFFERED_BODY as u64)
}
