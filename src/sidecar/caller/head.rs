//! Validation of request heads before hyper reads them.
//!
//! hyper's own checks are not sufficient:
//!
//! - If a head has both Content-Length and Transfer-Encoding, hyper drops the Content-Length before it calls the
//!   service.
//! - hyper accepts a repeated Content-Length.
//! - hyper has a single timeout for the wait before a head and for the head itself.

/// The maximum length of a head in bytes, about twenty times that of an ordinary one.
pub const MAX_HEAD_LENGTH: usize = 16 << 10;
/// The maximum length in bytes at which an incomplete head is parsed, to detect early that it can never become valid.
const MAX_EARLY_PARSE_LENGTH: usize = 4 << 10;
/// The maximum number of headers that hyper accepts.
const MAX_HEADERS: usize = 100;

/// The reason why a head is rejected. Nothing after a rejected head is read as a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The headers do not define the end of the body unambiguously, so another server could find a different end.
    AmbiguousFraming,
    /// The head is longer than [`MAX_HEAD_LENGTH`].
    TooLong,
    /// The head was not complete in time.
    TooSlow,
    /// There is no memory for a head of this length.
    NoMemory,
}

/// The result of validating the bytes of a head.
#[derive(Debug)]
pub enum HeadValidation {
    /// The end of the head has not arrived yet.
    Incomplete {
        /// The number of leading bytes that are known not to contain the end.
        searched: usize,
    },
    /// The head and its body together have this length in bytes.
    KnownLength(u64),
    /// The body is chunked. Only hyper, which decodes it, can find its end.
    Chunked,
    /// The head is complete but cannot be parsed. It is forwarded to hyper, which reports the error and closes the
    /// connection.
    Malformed,
    /// The head is incomplete, and no further bytes could make it valid. It is forwarded to hyper, which reports the
    /// error and closes the connection.
    MalformedPrefix,
    /// The head must not be forwarded.
    Rejected(HeadError),
}

impl HeadValidation {
    /// Returns whether all of the head has arrived.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        !matches!(
            self,
            HeadValidation::Incomplete { .. }
                | HeadValidation::MalformedPrefix
                | HeadValidation::Rejected(HeadError::TooLong)
        )
    }
}

/// The properties of a head that determine where the head and its body end.
#[derive(Debug)]
struct HeadFraming<'a> {
    head_length: usize,
    content_lengths: Vec<&'a [u8]>,
    transfer_encodings: Vec<&'a [u8]>,
}

/// Validates the head at the start of `bytes`, whose first `searched` bytes are known not to contain its end.
#[must_use]
pub fn validate_head(bytes: &[u8], searched: usize) -> HeadValidation {
    let Some(end) = head_end(bytes, searched) else {
        return validate_incomplete_head(bytes);
    };
    let Ok(Some(framing)) = parse(&bytes[..end]) else {
        return HeadValidation::Malformed;
    };
    if framing.head_length != end {
        return HeadValidation::Rejected(HeadError::AmbiguousFraming);
    }
    match (
        &framing.content_lengths[..],
        &framing.transfer_encodings[..],
    ) {
        ([], []) => HeadValidation::KnownLength(end as u64),
        ([], [encoding]) if encoding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            HeadValidation::Chunked
        }
        ([length], []) => match total_length(end, length) {
            Some(length) => HeadValidation::KnownLength(length),
            None => HeadValidation::Rejected(HeadError::AmbiguousFraming),
        },
        _ => HeadValidation::Rejected(HeadError::AmbiguousFraming),
    }
}

/// Returns the length of a head and its body together, or `None` if the Content-Length is invalid.
fn total_length(head_length: usize, content_length: &[u8]) -> Option<u64> {
    parse_length(content_length)?.checked_add(head_length as u64)
}

/// Returns the position after a head, which ends with its first empty line. Empty lines before the head are skipped.
fn head_end(bytes: &[u8], searched: usize) -> Option<usize> {
    let start = bytes
        .iter()
        .position(|byte| !matches!(byte, b'\r' | b'\n'))
        .unwrap_or(bytes.len());
    (searched.max(start)..bytes.len()).find_map(|position| {
        let rest = &bytes[position..];
        if rest.starts_with(b"\n\n") {
            Some(position + 2)
        } else if rest.starts_with(b"\n\r\n") {
            Some(position + 3)
        } else {
            None
        }
    })
}

fn validate_incomplete_head(bytes: &[u8]) -> HeadValidation {
    if bytes.len() >= MAX_HEAD_LENGTH {
        return HeadValidation::Rejected(HeadError::TooLong);
    }
    if bytes.len() <= MAX_EARLY_PARSE_LENGTH && parse(bytes).is_err() {
        return HeadValidation::MalformedPrefix; // more bytes cannot make the head valid
    }
    // The last two bytes may be the start of the empty line that ends the head.
    HeadValidation::Incomplete {
        searched: bytes.len().saturating_sub(2),
    }
}

/// Parses a head with httparse, the parser that hyper uses. Returns `None` if the head is incomplete.
fn parse(bytes: &[u8]) -> Result<Option<HeadFraming<'_>>, httparse::Error> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(head_length) = request.parse(bytes)? else {
        return Ok(None);
    };
    let values = |name: &str| {
        let named = request
            .headers
            .iter()
            .filter(|header| header.name.eq_ignore_ascii_case(name));
        named.map(|header| header.value).collect()
    };
    Ok(Some(HeadFraming {
        head_length,
        content_lengths: values("content-length"),
        transfer_encodings: values("transfer-encoding"),
    }))
}

fn parse_length(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let digits = is_number.then_some(value)?;
    std::str::from_utf8(digits).ok()?.parse().ok()
}
