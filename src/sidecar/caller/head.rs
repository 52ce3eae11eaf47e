//! Heads of requests, judged before hyper reads them.
//!
//! Own parsing, as hyper cannot do it: it drops a Content-Length beside a Transfer-Encoding without a word (so that the
//! service cannot tell), takes repeated lengths, and has one clock for the wait before a head and for the head.

use super::connection_state::HeadError;

/// The longest head. Honest ones are a twentieth of it.
pub const MAX_HEAD_LENGTH: usize = 16 << 10;
/// Up to this length a head that is not whole yet is parsed too, to find one that never will be.
const MAX_EARLY_PARSE_LENGTH: usize = 4 << 10;
/// As many headers as hyper takes.
const MAX_HEADERS: usize = 100;

/// What the bytes of a head say.
pub enum HeadValidation {
    /// It is not whole. So many bytes are known not to hold its end.
    Incomplete {
        /// How many.
        searched: usize,
    },
    /// It and its body end after so many bytes.
    Length(u64),
    /// Its body comes in chunks, whose end only hyper knows.
    Chunked,
    /// It is whole, and no head. hyper says what is wrong with it, and ends there.
    Malformed,
    /// It is not whole, and never will be a head. hyper says what is wrong with it, and ends there.
    NeverComplete,
    /// It must not be read.
    Rejected(HeadError),
}

impl HeadValidation {
    /// Whether all of the head has come.
    pub fn is_complete(&self) -> bool {
        !matches!(
            self,
            HeadValidation::Incomplete { .. }
                | HeadValidation::NeverComplete
                | HeadValidation::Rejected(HeadError::TooLong)
        )
    }
}

/// What a head says of where it and its body end.
struct Framing<'a> {
    head_length: usize,
    content_lengths: Vec<&'a [u8]>,
    transfer_encodings: Vec<&'a [u8]>,
}

/// Judges the head that some bytes begin with, of which so many were searched for its end before.
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
        ([], []) => HeadValidation::Length(end as u64),
        ([], [encoding]) if encoding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            HeadValidation::Chunked
        }
        ([length], []) => {
            match parse_length(length).and_then(|length| length.checked_add(end as u64)) {
                Some(length) => HeadValidation::Length(length),
                None => HeadValidation::Rejected(HeadError::Framing),
            }
        }
        _ => HeadValidation::Rejected(HeadError::Framing),
    }
}

/// Where a head ends: behind its first empty line, but for those ahead of it.
fn head_end(bytes: &[u8], searched: usize) -> Option<usize> {
    let start = bytes
        .iter()
        .position(|b| !matches!(b, b'\r' | b'\n'))
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
        return HeadValidation::NeverComplete; // there is nothing to wait for
    }
    // The last two bytes may begin the end.
    HeadValidation::Incomplete {
        searched: bytes.len().saturating_sub(2),
    }
}

/// Reads a head as hyper does, with the same parser; none where it is not whole yet.
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
