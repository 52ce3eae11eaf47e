//! The reading half of a caller's connection, which validates request heads before hyper reads them.
//!
//! [`RequestReader`] collects each head, validates it, and forwards it to hyper once it is complete, one request at a
//! time. hyper then parses the request itself. A head that fails validation is replaced by an empty request, which the
//! service answers with the error.
//!
//! While a request is answered, the reader buffers the bytes that arrive after it, because hyper notices the client's
//! FIN only while hyper has no unread bytes. [`client_disconnected`] watches the socket itself for the cases in which
//! neither hyper nor the reader reads from it.

use super::connection_state::ConnectionState;
use super::head::{HeadError, HeadValidation, MAX_HEAD_LENGTH, validate_head};
use super::persistence::Persistence;
use crate::sidecar::memory::{MemoryBudget, MemoryReservation};
use crate::sidecar::sockets;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, Interest, ReadBuf};
use tokio::net::TcpStream;

/// The maximum number of bytes that one read returns while a head is collected.
const READ_CHUNK: usize = 4 << 10;
/// The request that hyper reads in place of a rejected head.
const REPLACEMENT_HEAD: &[u8] = b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n";

/// Determines what the reader does with the next bytes.
#[derive(Clone, Copy, Debug)]
enum ReadMode {
    /// Collects a head. The first `searched` unread bytes are known not to contain its end.
    Head { searched: usize },
    /// Forwards the `remaining` bytes of a validated head and its body.
    Forwarding { remaining: u64 },
    /// Forwards everything that follows: a request with a chunked body, whose end only hyper can find, or a malformed
    /// head, which hyper reports. No other request is read on the connection.
    ForwardingAll,
    /// Waits for the response to the request, all of which has been forwarded.
    AwaitingResponse,
    /// Forwards the replacement of a rejected head and nothing after it. `forwarded` bytes of it have been forwarded.
    ReplacementHead { forwarded: usize },
}

/// The result of polling for the bytes of a head, or for bytes that arrive while a request is answered.
enum ReceivePoll {
    /// The mode has changed, or more bytes have been received and are to be validated.
    Progress,
    /// The client has sent FIN.
    EndOfStream,
}

/// The reading half of a caller's connection, as hyper uses it.
#[derive(Debug)]
pub struct RequestReader {
    stream: Rc<TcpStream>,
    connection: Rc<ConnectionState>,
    mode: ReadMode,
    /// The bytes that have been received and not forwarded.
    unread: Vec<u8>,
    /// The budget of the process's memory.
    memory: MemoryBudget,
    /// The reservation for a head that is longer than [`READ_CHUNK`], until it has been forwarded. A shorter one is part of
    /// what the connection takes.
    head_memory: Option<MemoryReservation>,
}

/// Waits until the client disconnects, by FIN or reset, while one of its requests has no response.
///
/// hyper notices this only while it reads. It does not read while, for example, no endpoint takes the request's body
/// yet.
pub async fn client_disconnected(stream: &TcpStream, connection: &ConnectionState) {
    // The socket becomes ready for these interests only after the client has sent FIN or a reset.
    let is_ready = stream.ready(Interest::PRIORITY | Interest::ERROR).await;
    if is_ready.is_err() {
        return;
    }
    poll_fn(|_| {
        if connection.is_awaiting_response() {
            Poll::Ready(())
        } else {
            Poll::Pending // polled again whenever the connection is polled, which is when its state changes
        }
    })
    .await;
}

impl RequestReader {
    /// Creates the reader of a connection that was just accepted.
    #[must_use]
    pub fn new(
        stream: Rc<TcpStream>,
        connection: Rc<ConnectionState>,
        memory: MemoryBudget,
    ) -> Self {
        RequestReader {
            stream,
            connection,
            mode: ReadMode::Head { searched: 0 },
            unread: Vec::new(),
            memory,
            head_memory: None,
        }
    }

    /// Validates the head at the start of the unread bytes. Returns the next mode if the head is to be forwarded or
    /// replaced.
    fn validate_head(&mut self, searched: usize) -> Option<ReadMode> {
        let validation = validate_head(&self.unread, searched);
        if validation.is_complete() {
            self.connection.head_completed();
        }
        match validation {
            HeadValidation::Incomplete { searched } => {
                self.mode = ReadMode::Head { searched };
                None
            }
            HeadValidation::KnownLength(remaining) => {
                let position = self.connection.read_position();
                let head_start = position.bytes_read() - self.unread.len() as u64;
                position.set_request_end(Some(head_start + remaining));
                Some(self.forward_head(ReadMode::Forwarding { remaining }))
            }
            HeadValidation::Chunked => {
                self.connection.set_persistence(Persistence::Close);
                self.connection.read_position().set_request_end(None);
                Some(self.forward_head(ReadMode::ForwardingAll))
            }
            HeadValidation::Malformed | HeadValidation::MalformedPrefix => {
                Some(self.forward_head(ReadMode::ForwardingAll))
            }
            HeadValidation::Rejected(error) => Some(self.reject_head(error)),
        }
    }

    fn forward_head(&self, mode: ReadMode) -> ReadMode {
        self.connection.head_forwarded();
        mode
    }

    fn reject_head(&self, error: HeadError) -> ReadMode {
        self.connection.head_rejected(error);
        ReadMode::ReplacementHead { forwarded: 0 }
    }

    /// Changes the mode if the head is complete, invalid or has timed out. Otherwise reads more of it.
    fn poll_head(
        &mut self,
        searched: usize,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<ReceivePoll>> {
        if let Some(error) = self.connection.head_error() {
            self.mode = self.reject_head(error);
            return Poll::Ready(Ok(ReceivePoll::Progress));
        }
        if !self.unread.is_empty()
            && let Some(next) = self.validate_head(searched)
        {
            self.mode = next;
            return Poll::Ready(Ok(ReceivePoll::Progress));
        }
        if self.unread.len() >= READ_CHUNK && !self.reserve_long_head() {
            self.mode = self.reject_head(HeadError::NoMemory);
            return Poll::Ready(Ok(ReceivePoll::Progress));
        }
        self.poll_receive(context)
    }

    /// Reserves memory for a long head. Returns false if there is none.
    fn reserve_long_head(&mut self) -> bool {
        if self.head_memory.is_none() {
            self.head_memory = self.memory.reserve(MAX_HEAD_LENGTH);
        }
        self.head_memory.is_some()
    }

    /// Appends received bytes to the unread ones.
    fn poll_receive(&mut self, context: &mut Context<'_>) -> Poll<io::Result<ReceivePoll>> {
        let read = sockets::poll_append(&self.stream, context, &mut self.unread, READ_CHUNK);
        if self.unread.is_empty() {
            self.unread = Vec::new(); // frees the buffer, because most connections are idle most of the time
        }
        let received = ready!(read)?;
        self.connection.read_position().advance(received);
        self.connection.bytes_received(received);
        Poll::Ready(Ok(if received == 0 {
            ReceivePoll::EndOfStream
        } else {
            ReceivePoll::Progress
        }))
    }

    /// Buffers the bytes that arrive while the request is answered, up to the length of an ordinary head.
    fn poll_while_answering(&mut self, context: &mut Context<'_>) -> Poll<io::Result<ReceivePoll>> {
        self.connection.wake_reader_when_answered(context.waker());
        if self.unread.len() >= READ_CHUNK {
            return Poll::Pending; // [`client_disconnected`] notices a disconnect
        }
        self.poll_receive(context)
    }

    /// Forwards up to `max` bytes, unread ones first. Returns their number, which is 0 at the client's FIN.
    fn poll_forward(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        max: u64,
    ) -> Poll<io::Result<usize>> {
        let max = usize::try_from(max).unwrap_or(usize::MAX);
        let max = buffer.remaining().min(max);
        if !self.unread.is_empty() {
            let count = max.min(self.unread.len());
            buffer.put_slice(&self.unread[..count]);
            self.unread.drain(..count);
            if self.unread.is_empty() {
                self.unread = Vec::new(); // frees the buffer of a long head
                self.head_memory = None;
            }
            return Poll::Ready(Ok(count));
        }
        let mut limited = ReadBuf::new(buffer.initialize_unfilled_to(max));
        ready!(sockets::poll_read(&self.stream, context, &mut limited))?;
        let count = limited.filled().len();
        buffer.advance(count);
        self.connection.read_position().advance(count);
        if count == 0 {
            self.connection.peer_closed();
        }
        Poll::Ready(Ok(count))
    }

    /// Starts to collect the next head, some bytes of which may already have arrived.
    fn begin_next_head(&mut self) {
        if !self.unread.is_empty() {
            self.connection.next_head_started();
        }
        self.mode = ReadMode::Head { searched: 0 };
    }

    /// Copies the next bytes of the replacement head into `buffer`.
    fn forward_replacement(&mut self, buffer: &mut ReadBuf<'_>, forwarded: usize) {
        let rest = &REPLACEMENT_HEAD[forwarded..];
        let count = buffer.remaining().min(rest.len());
        buffer.put_slice(&rest[..count]);
        self.mode = ReadMode::ReplacementHead {
            forwarded: forwarded + count,
        };
    }
}

impl AsyncRead for RequestReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let receive_poll = match self.mode {
                ReadMode::Head { searched } => ready!(self.poll_head(searched, context))?,
                ReadMode::Forwarding { remaining: 0 } => {
                    self.mode = ReadMode::AwaitingResponse;
                    continue;
                }
                ReadMode::Forwarding { remaining } => {
                    let count = ready!(self.poll_forward(context, buffer, remaining))?;
                    self.mode = ReadMode::Forwarding {
                        remaining: remaining - count as u64,
                    };
                    return Poll::Ready(Ok(()));
                }
                ReadMode::ForwardingAll => {
                    ready!(self.poll_forward(context, buffer, u64::MAX))?;
                    return Poll::Ready(Ok(()));
                }
                ReadMode::AwaitingResponse if self.connection.is_awaiting_response() => {
                    ready!(self.poll_while_answering(context))?
                }
                ReadMode::AwaitingResponse => {
                    self.begin_next_head();
                    continue;
                }
                ReadMode::ReplacementHead { forwarded } if forwarded < REPLACEMENT_HEAD.len() => {
                    self.forward_replacement(buffer, forwarded);
                    return Poll::Ready(Ok(()));
                }
                // No waker is needed: the service answers at once, and the connection closes after the response.
                ReadMode::ReplacementHead { .. } => return Poll::Pending,
            };
            if let ReceivePoll::EndOfStream = receive_poll {
                self.connection.peer_closed();
                return Poll::Ready(Ok(()));
            }
        }
    }
}

#[cfg(test)]
#[path = "request_reader_tests.rs"]
mod tests;
