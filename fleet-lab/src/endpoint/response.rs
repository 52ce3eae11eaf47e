//! Reading of a sidecar's response: its status, and the reusability of its connection. The body is skipped.

use super::message::{MAX_HEAD_BYTES, MAX_HEADERS, READ_BYTES};
use bytes::{Buf, BytesMut};
use std::io;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// A complete response.
#[derive(Clone, Copy, Debug)]
pub(super) struct Response {
    pub status: u16,
    /// True if the connection can carry another request.
    pub keep_alive: bool,
}

/// A failure to read a complete response.
#[derive(Debug, thiserror::Error)]
pub(super) enum ResponseError {
    /// The connection ended before the first byte.
    #[error("connection ended before the first byte of a response")]
    NoResponse,
    /// The connection ended within the response.
    #[error("connection ended within a response")]
    ClosedWithinResponse,
    /// The response is not HTTP/1.1.
    #[error("malformed response: {0}")]
    Malformed(#[from] httparse::Error),
    /// The length of the body or of a chunk is invalid.
    #[error("invalid length of a response's body or chunk")]
    MalformedLength,
    /// The head is too long.
    #[error("response head too long")]
    TooLong,
}

/// The way in which the end of a body is marked.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length(u64),
    Chunked,
    UntilClose,
}

struct ResponseHead {
    status: u16,
    framing: Framing,
    closes_connection: bool,
}

/// Reads one response from a connection. Bytes that were read beyond its end stay in the buffer.
pub(super) async fn read_response(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
) -> Result<Response, ResponseError> {
    let mut reader = ResponseReader { stream, buffer };
    reader.fill().await.map_err(|_| ResponseError::NoResponse)?;
    let head = reader.head().await?;
    match head.framing {
        Framing::Length(length) => reader.skip(length).await?,
        Framing::Chunked => reader.skip_chunks().await?,
        Framing::UntilClose => reader.skip_all().await,
    }
    let keep_alive = !head.closes_connection && !matches!(head.framing, Framing::UntilClose);
    Ok(Response {
        status: head.status,
        keep_alive,
    })
}

struct ResponseReader<'connection> {
    stream: &'connection mut TcpStream,
    buffer: &'connection mut BytesMut,
}

impl ResponseReader<'_> {
    /// Reads more bytes. Returns an error at the end of the connection.
    async fn fill(&mut self) -> Result<(), ResponseError> {
        self.buffer.reserve(READ_BYTES);
        match self.stream.read_buf(self.buffer).await {
            Ok(0) | Err(_) => Err(ResponseError::ClosedWithinResponse),
            Ok(_) => Ok(()),
        }
    }

    /// Reads the head of the final response. Skips interim responses (1xx).
    async fn head(&mut self) -> Result<ResponseHead, ResponseError> {
        loop {
            match take_head(self.buffer)? {
                Some(head) if head.status >= 200 => return Ok(head),
                Some(_) => {}
                None if self.buffer.len() > MAX_HEAD_BYTES => return Err(ResponseError::TooLong),
                None => self.fill().await?,
            }
        }
    }

    /// Skips this number of bytes.
    async fn skip(&mut self, mut length: u64) -> Result<(), ResponseError> {
        loop {
            let skipped = length.min(self.buffer.len() as u64);
            self.buffer.advance(skipped as usize);
            length -= skipped;
            if length == 0 {
                return Ok(());
            }
            self.fill().await?;
        }
    }

    /// Skips all chunks of a body and the trailers.
    async fn skip_chunks(&mut self) -> Result<(), ResponseError> {
        loop {
            let size = self.chunk_size().await?;
            if size == 0 {
                return self.skip_trailers().await;
            }
            self.skip(size).await?;
            self.skip(b"\r\n".len() as u64).await?;
        }
    }

    /// Reads the line with the size of the next chunk.
    async fn chunk_size(&mut self) -> Result<u64, ResponseError> {
        loop {
            let parsed = httparse::parse_chunk_size(self.buffer);
            match parsed.map_err(|_| ResponseError::MalformedLength)? {
                httparse::Status::Complete((line_length, size)) => {
                    self.buffer.advance(line_length);
                    return Ok(size);
                }
                httparse::Status::Partial => self.fill().await?,
            }
        }
    }

    /// Skips the trailers after the last chunk.
    async fn skip_trailers(&mut self) -> Result<(), ResponseError> {
        while !take_trailers(self.buffer)? {
            self.fill().await?;
        }
        Ok(())
    }

    /// Skips all bytes until the connection ends.
    async fn skip_all(&mut self) {
        self.buffer.clear();
        while self.fill().await.is_ok() {
            self.buffer.clear();
        }
    }
}

/// Removes a response's head from the front of the buffer and returns it; `None` while it is incomplete.
fn take_head(buffer: &mut BytesMut) -> Result<Option<ResponseHead>, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(length) = parsed.parse(buffer)? else {
        return Ok(None);
    };
    let status = parsed.code.unwrap_or_default();
    let mut head = ResponseHead {
        status,
        framing: default_framing(status),
        closes_connection: parsed.version == Some(0),
    };
    for header in parsed.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            head.framing = Framing::Length(parse_length(header.value)?);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            head.framing = Framing::Chunked;
        } else if header.name.eq_ignore_ascii_case("connection") {
            head.closes_connection = header.value.eq_ignore_ascii_case(b"close");
        }
    }
    buffer.advance(length);
    Ok(Some(head))
}

/// Removes the trailers and the empty line after them from the front of the buffer. Returns false while they are
/// incomplete.
fn take_trailers(buffer: &mut BytesMut) -> Result<bool, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let httparse::Status::Complete((length, _)) = httparse::parse_headers(buffer, &mut headers)?
    else {
        return Ok(false);
    };
    buffer.advance(length);
    Ok(true)
}

/// Returns the framing of a body without framing headers.
fn default_framing(status: u16) -> Framing {
    match status {
        100..200 | 204 | 304 => Framing::Length(0),
        _ => Framing::UntilClose,
    }
}

fn parse_length(value: &[u8]) -> Result<u64, ResponseError> {
    let text = str::from_utf8(value).map_err(|_| ResponseError::MalformedLength)?;
    text.parse().map_err(|_| ResponseError::MalformedLength)
}

/// Returns true if the peer has closed an idle connection or sent unexpected bytes on it.
pub(super) fn is_closed(stream: &TcpStream) -> bool {
    let mut scratch = [0; 1];
    !matches!(stream.try_read(&mut scratch), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}
