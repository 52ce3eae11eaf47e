//! A parser of answers, fed with bytes as they come.

/// Headers that an answer may have.
const MOST_HEADERS: usize = 64;
/// Bytes that an answer's head may have.
const LONGEST_HEAD: usize = 64 * 1024;

/// What an answer says, once its last byte has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Answer {
    pub status: u16,
    /// Whether the connection can carry the next request.
    pub keeps_connection: bool,
}

/// Why bytes are no answer that this caller can read.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub(super) enum ResponseError {
    #[error("no HTTP answer: {0}")]
    Malformed(#[from] httparse::Error),
    #[error("the head is too long")]
    HeadTooLong,
    #[error("the answer has no Content-Length")]
    NoContentLength,
    #[error("bytes follow the answer")]
    ExcessBytes,
}

/// Reads one answer after another.
#[derive(Default)]
pub(super) struct ResponseParser {
    /// What has come of the head.
    head: Vec<u8>,
    /// The rest of the answer, once its head is whole.
    body: Option<Body>,
}

/// An answer whose head is whole.
#[derive(Clone, Copy)]
struct Body {
    answer: Answer,
    missing: usize,
}

impl ResponseParser {
    /// Whether a part of an answer has come.
    pub fn has_begun(&self) -> bool {
        self.body.is_some() || !self.head.is_empty()
    }

    /// Takes the next bytes; the answer where they are its last.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Answer>, ResponseError> {
        let Some(mut body) = self.body.take() else {
            return self.feed_head(bytes);
        };
        body.missing = body
            .missing
            .checked_sub(bytes.len())
            .ok_or(ResponseError::ExcessBytes)?;
        if body.missing == 0 {
            return Ok(Some(body.answer));
        }
        self.body = Some(body);
        Ok(None)
    }

    fn feed_head(&mut self, bytes: &[u8]) -> Result<Option<Answer>, ResponseError> {
        self.head.extend_from_slice(bytes);
        let Some((head_length, body)) = parse_head(&self.head)? else {
            let is_too_long = self.head.len() > LONGEST_HEAD;
            return if is_too_long {
                Err(ResponseError::HeadTooLong)
            } else {
                Ok(None)
            };
        };
        let body_bytes = self.head.len() - head_length;
        self.head.clear();
        self.body = Some(body);
        self.feed(&bytes[bytes.len() - body_bytes..])
    }
}

/// The length of a whole head, and what it says of the body.
fn parse_head(bytes: &[u8]) -> Result<Option<(usize, Body)>, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(length) = response.parse(bytes)? else {
        return Ok(None);
    };
    let mut missing = None;
    let mut keeps_connection = response.version == Some(1);
    for header in response.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            missing = text(header.value).parse().ok();
        } else if header.name.eq_ignore_ascii_case("connection") {
            keeps_connection &= !text(header.value).eq_ignore_ascii_case("close");
        }
    }
    let missing = missing.ok_or(ResponseError::NoContentLength)?;
    let answer = Answer {
        status: response.code.unwrap_or_default(),
        keeps_connection,
    };
    Ok(Some((length, Body { answer, missing })))
}

fn text(value: &[u8]) -> &str {
    std::str::from_utf8(value).unwrap_or_default().trim()
}
