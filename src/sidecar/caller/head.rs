//! Validation of request heads before hyper reads them.
//!
//! hyper cannot do this: it silently drops a Content-Length beside a Transfer-Encoding, so that the service cannot tell;
//! it accepts a repeated Content-Length; and it has one timeout for the wait before a head and for the head itself.

/// The maximum length of a head, about twenty times that of an ordinary one.
pub const MAX_HEAD_LENGTH: usize = 16 << 10;
/// Up to this length an incomplete head is parsed as well, to find one that can never become valid.
const MAX_EARLY_PARSE_LENGTH: usize = 4 << 10;
/// The number of headers that hyper accepts.
const MAX_HEADERS: usize = 100;

/// Why a head is rejected. Nothing after it is read as a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// Two readers could disagree on where the body ends.
    Framing,
    /// The head is longer than [`MAX_HEAD_LENGTH`].
    TooLong,
    /// The head was not complete in time.
    TooSlow,
}

/// The result of validating the bytes of a head.
#[derive(Debug)]
pub enum HeadValidation {
    /// Its end has not come yet.
    Incomplete {
        /// The number of leading bytes that do not contain the end.
        searched: usize,
    },
    /// The head and its body have this length together.
    KnownLength(u64),
    /// The body is chunked, so that only hyper knows its end.
    Chunked,
    /// The head is complete and does not parse. hyper reports the error and ends the connection.
    Malformed,
    /// The head is incomplete and does not parse. hyper reports the error and ends the connection.
    MalformedPrefix,
    /// The head must not be forwarded.
    Rejected(HeadError),
}

impl HeadValidation {
    /// Returns whether all of the head has come.
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

/// The parts of a head that delimit the head and its body.
#[derive(Debug)]
struct Framing<'a> {
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
        return HeadValidation::Rejected(HeadError::Framing);
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
            None => HeadValidation::Rejected(HeadError::Framing),
        },
        _ => HeadValidation::Rejected(HeadError::Framing),
    }
}

/// Returns the length of a head and its body, or none for an invalid Content-Length.
fn total_length(head_length: usize, content_length: &[u8]) -> Option<u64> {
    parse_length(content_length)?.checked_add(head_length as u64)
}

/// Returns where a head ends: behind its first empty line, apart from leading ones.
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
        return HeadValidation::MalformedPrefix; // waiting for more is of no use
    }
    // The last two bytes may be the beginning of the end.
    HeadValidation::Incomplete {
        searched: bytes.len().saturating_sub(2),
    }
}

/// Parses a head with hyper's own parser. Returns none for an incomplete one.
fn parse(bytes: &[u8]) -> Result<Option<Framing<'_>>, httparse::Error> {
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
    Ok(Some(Framing {
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
