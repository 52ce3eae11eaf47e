//! Heads of requests, judged before hyper reads them.
//!
//! Own parsing, as hyper cannot do it: it drops a Content-Length beside a Transfer-Encoding without a word (so that the
//! service cannot tell), takes repeated lengths, and has one clock for the wait before a head and for the head.

use super::traffic::HeadFault;

/// The longest head. Honest ones are a twentieth of it.
pub const LONGEST_HEAD: usize = 16 << 10;
/// Up to this length a head that is not whole yet is parsed too, to find one that never will be.
const EARLY_CHECK: usize = 4 << 10;
/// As many headers as hyper takes.
const MAX_HEADERS: usize = 100;

/// What the bytes of a head say.
pub enum Judgement {
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
    NeverWhole,
    /// It must not be read.
    Fault(HeadFault),
}

impl Judgement {
    /// Whether all of the head has come.
    pub fn is_of_whole_head(&self) -> bool {
        !matches!(
            self,
            Judgement::Incomplete { .. }
                | Judgement::NeverWhole
                | Judgement::Fault(HeadFault::TooLong)
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
pub fn judge(bytes: &[u8], searched: usize) -> Judgement {
    let Some(end) = head_end(bytes, searched) else {
        return judge_incomplete(bytes);
    };
    let Ok(Some(framing)) = parse(&bytes[..end]) else {
        return Judgement::Malformed;
    };
    if framing.head_length != end {
        return Judgement::Fault(HeadFault::Framing);
    }
    match (
        &framing.content_lengths[..],
        &framing.transfer_encodings[..],
    ) {
        ([], []) => Judgement::Length(end as u64),
        ([], [encoding]) if encoding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            Judgement::Chunked
        }
        ([length], []) => {
            match parse_length(length).and_then(|length| length.checked_add(end as u64)) {
                Some(length) => Judgement::Length(length),
                None => Judgement::Fault(HeadFault::Framing),
            }
        }
        _ => Judgement::Fault(HeadFault::Framing),
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

fn judge_incomplete(bytes: &[u8]) -> Judgement {
    if bytes.len() >= LONGEST_HEAD {
        return Judgement::Fault(HeadFault::TooLong);
    }
    if bytes.len() <= EARLY_CHECK && parse(bytes).is_err() {
        return Judgement::NeverWhole; // there is nothing to wait for
    }
    // The last two bytes may begin the end.
    Judgement::Incomplete {
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
