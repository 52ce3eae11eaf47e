//! An incremental parser of responses.

/// The largest number of headers of a response.
const MAX_HEADERS: usize = 64;
/// The longest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A complete response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Response {
    pub status: u16,
    /// True if the connection can carry another request.
    pub keep_alive: bool,
}

/// A response that cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub(super) enum ResponseError {
    #[error("not an HTTP response: {0}")]
    Malformed(#[from] httparse::Error),
    #[error("the head of the response is too long")]
    HeadTooLong,
    #[error("the response has no Content-Length")]
    NoContentLength,
    #[error("bytes follow the end of the response")]
    ExcessBytes,
}

/// Parses the responses of a connection one after another.
#[derive(Default)]
pub(super) struct ResponseParser {
    /// The bytes of the head that have been received; empty once the head is complete.
    head: Vec<u8>,
    /// The body that is being received; `None` while the head is incomplete.
    body: Option<Body>,
}

/// The body of a response whose head is complete.
#[derive(Clone, Copy)]
struct Body {
    response: Response,
    /// The number of its bytes that have not been received yet.
    remaining: usize,
}

impl ResponseParser {
    /// Returns true if a part of a response has been received.
    pub fn has_started(&self) -> bool {
        self.body.is_some() || !self.head.is_empty()
    }

    /// Parses the next bytes and returns the response if they complete it.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Response>, ResponseError> {
        let Some(mut body) = self.body.take() else {
            return self.push_head(bytes);
        };
        body.remaining = body
            .remaining
            .checked_sub(bytes.len())
            .ok_or(ResponseError::ExcessBytes)?;
        if body.remaining == 0 {
            return Ok(Some(body.response));
        }
        self.body = Some(body);
        Ok(None)
    }

    fn push_head(&mut self, bytes: &[u8]) -> Result<Option<Response>, ResponseError> {
        self.head.extend_from_slice(bytes);
        let Some((head_length, body)) = parse_head(&self.head)? else {
            let is_too_long = self.head.len() > MAX_HEAD_BYTES;
            return if is_too_long {
                Err(ResponseError::HeadTooLong)
            } else {
                Ok(None)
            };
        };
        let body_bytes = self.head.len() - head_length;
        self.head.clear();
        self.body = Some(body);
        self.push(&bytes[bytes.len() - body_bytes..])
    }
}

/// Parses the head and returns its length with the response and the length of its body. Returns `None` while the head
/// is incomplete.
fn parse_head(bytes: &[u8]) -> Result<Option<(usize, Body)>, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(length) = parsed.parse(bytes)? else {
        return Ok(None);
    };
    let mut remaining = None;
    let mut keep_alive = parsed.version == Some(1);
    for header in parsed.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            remaining = header_text(header.value).parse().ok();
        } else if header.name.eq_ignore_ascii_case("connection") {
            keep_alive &= !header_text(header.value).eq_ignore_ascii_case("close");
        }
    }
    let remaining = remaining.ok_or(ResponseError::NoContentLength)?;
    let response = Response {
        status: parsed.code.unwrap_or_default(),
        keep_alive,
    };
    Ok(Some((
        length,
        Body {
            response,
            remaining,
        },
    )))
}

fn header_text(value: &[u8]) -> &str {
    std::str::from_utf8(value).unwrap_or_default().trim()
}
