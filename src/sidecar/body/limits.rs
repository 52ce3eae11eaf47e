//! Size limits of bodies.

use hyper::body::{Body, Incoming};

/// The largest body that is buffered completely, in bytes, in either direction.
pub const MAX_BUFFERED_BODY: usize = 64 << 10;
/// The largest body that is accepted, in bytes, in either direction: a quarter above the largest that the protocol allows.
pub const MAX_BODY: u64 = 40 << 20;

/// Returns the memory in bytes that buffering this body can take.
pub fn buffer_size(body: &Incoming) -> usize {
    body.size_hint()
        .exact()
        .and_then(|length| usize::try_from(length).ok())
        .map_or(MAX_BUFFERED_BODY, |length| length.min(MAX_BUFFERED_BODY))
}

/// Returns whether a body of this declared length, of which `received` bytes have come, is too large to be buffered.
pub fn exceeds_buffer(length: Option<u64>, received: usize) -> bool {
    received > MAX_BUFFERED_BODY || length.is_some_and(|length| length > MAX_BUFFERED_BODY as u64)
}
