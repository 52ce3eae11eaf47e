//! The reading half of a caller's connection, which validates request heads before hyper reads them.
//!
//! [`RequestReader`] collects each head, validates it, and forwards it to hyper once it is complete, one request at a
//! time; hyper still does all the parsing that counts. A head that fails validation is replaced by an empty request, which
//! the service answers with the error.
//!
//! While a request is answered the reader keeps what arrives after it: hyper notices the client's FIN only while it has
//! no unread bytes. [`client_disconnected`] watches the socket itself for the cases in which nobody reads on.

use super::connection_state::ConnectionState;
use super::head::{HeadError, HeadValidation, MAX_HEAD_LENGTH, validate_head};
use super::persistence::Persistence;
use crate::sidecar::sockets;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, Interest, ReadBuf};
use tokio::net::TcpStream;

/// The maximum number of bytes that are read at once while a head is collected.
const READ_CHUNK: usize = 4 << 10;
/// What hyper reads in place of a rejected head.
const REPLACEMENT_HEAD: &[u8] = b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n";

/// What the reader does with the next bytes.
#[derive(Clone, Copy, Debug)]
enum ReadMode {
    /// Collects a head. The first `searched` unread bytes do not contain its end.
    Head { searched: usize },
    /// Forwards the `remaining` bytes of a validated head and its body.
    Forwarding { remaining: u64 },
    /// Forwards everything: a chunked body, whose end only hyper knows, or a head that hyper is to report as malformed. The
    /// connection ends with it.
    ForwardingAll,
    /// The request has been forwarded, and has no response yet.
    AwaitingResponse,
    /// Forwards the replacement of a rejected head, of which `forwarded` bytes are done, and nothing after it.
    ReplacementHead { forwarded: usize },
}

/// What became of polling for a head.
enum HeadPoll {
    /// The mode has changed, or more bytes are there to be validated.
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
    /// Received and not forwarded.
    unread: Vec<u8>,
}

/// Waits until the client has disconnected, by FIN or reset, while it has a request without a response. hyper notices that
/// only while it reads; this does also while it does not, as for a body that no endpoint takes yet.
pub async fn client_disconnected(stream: &TcpStream, connection: &ConnectionState) {
    // The socket becomes ready for these interests only once the client sends no more.
    let is_ready = stream.ready(Interest::PRIORITY | Interest::ERROR).await;
    if is_ready.is_err() {
        return;
    }
    poll_fn(|_| {
        if connection.is_awaiting_response() {
            Poll::Ready(())
        } else {
            Poll::Pending // polled again with the connection, whose state this is
        }
    })
    .await;
}

impl RequestReader {
    /// Reads from a connection that was just accepted.
    #[must_use]
    pub fn new(stream: Rc<TcpStream>, connection: Rc<ConnectionState>) -> Self {
        RequestReader {
            stream,
            connection,
            mode: ReadMode::Head { searched: 0 },
            unread: Vec::new(),
        }
    }

    /// Validates the head that the unread bytes begin with. Returns the next mode if the head is complete or rejected.
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
                Some(self.forward_head(ReadMode::Forwarding { remaining }))
            }
            HeadValidation::Chunked => {
                self.connection.set_persistence(Persistence::Close);
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

    /// Changes the mode if the head is complete, invalid or too late; otherwise reads more of it.
    fn poll_head(
        &mut self,
        searched: usize,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<HeadPoll>> {
        if let Some(error) = self.connection.head_error() {
            self.mode = self.reject_head(error);
            return Poll::Ready(Ok(HeadPoll::Progress));
        }
        if !self.unread.is_empty()
            && let Some(next) = self.validate_head(searched)
        {
            self.mode = next;
            return Poll::Ready(Ok(HeadPoll::Progress));
        }
        self.poll_receive(context)
    }

    /// Appends received bytes to the unread ones.
    fn poll_receive(&mut self, context: &mut Context<'_>) -> Poll<io::Result<HeadPoll>> {
        let read = sockets::poll_append(&self.stream, context, &mut self.unread, READ_CHUNK);
        if self.unread.is_empty() {
            self.unread = Vec::new(); // most connections are idle most of the time: free the buffer
        }
        let received = ready!(read)?;
        self.connection.received(received);
        Poll::Ready(Ok(if received == 0 {
            HeadPoll::EndOfStream
        } else {
            HeadPoll::Progress
        }))
    }

    /// Keeps what arrives while the request is answered, up to the length of a head.
    fn poll_while_answering(&mut self, context: &mut Context<'_>) -> Poll<io::Result<HeadPoll>> {
        self.connection.wake_reader_when_answered(context.waker());
        if self.unread.len() >= MAX_HEAD_LENGTH {
            return Poll::Pending; // [`client_disconnected`] notices the end of the connection
        }
        self.poll_receive(context)
    }

    /// Forwards up to `max` bytes, unread ones first, and returns their number; 0 at the client's FIN.
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
            return Poll::Ready(Ok(count));
        }
        let mut limited = ReadBuf::new(buffer.initialize_unfilled_to(max));
        ready!(sockets::poll_read(&self.stream, context, &mut limited))?;
        let count = limited.filled().len();
        buffer.advance(count);
        if count == 0 {
            self.connection.peer_closed();
        }
        Poll::Ready(Ok(count))
    }

    /// Begins to collect the next head, of which bytes may have arrived already.
    fn begin_next_head(&mut self) {
        if !self.unread.is_empty() {
            self.connection.next_head_started();
        }
        self.mode = ReadMode::Head { searched: 0 };
    }

    /// Copies the next bytes of the replacement head.
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
            let head_poll = match self.mode {
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
                // The service answers at once and the connection ends with that, so that nothing needs to wake this.
                ReadMode::ReplacementHead { .. } => return Poll::Pending,
            };
            if let HeadPoll::EndOfStream = head_poll {
                self.connection.peer_closed();
                return Poll::Ready(Ok(()));
            }
        }
    }
}
