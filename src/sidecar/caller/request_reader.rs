//! What comes in on a caller's connection, looked at before hyper reads it.
//!
//! Heads are collected here, judged, and handed on whole and one at a time; hyper still does all the reading that counts. A
//! head that must not be read is replaced by an empty one that the service answers with the fault.
//!
//! While a request is answered what comes behind it is kept here, as hyper looks for the other side's end only where it
//! has nothing unread; and where nobody reads on, the socket is asked whether the other side has left.

use super::connection_state::{ConnectionState, HeadError};
use super::head::{HeadValidation, MAX_HEAD_LENGTH, validate_head};
use crate::sidecar::sockets;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Read at once while a head is awaited.
const READ_CHUNK: usize = 4 << 10;
/// What hyper reads in place of a head that it must not.
const REPLACEMENT_HEAD: &[u8] = b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n";

/// What is being read.
#[derive(Clone, Copy)]
enum ReadState {
    /// A head. So many of the unread bytes are known not to hold its end.
    Head { searched: usize },
    /// So much goes on to hyper as it comes: a judged head and its body.
    Forwarding { remaining: u64 },
    /// All goes on: a body in chunks, whose end only hyper knows. The connection ends with it.
    ForwardingAll,
    /// The request has gone on whole, and is not answered yet.
    AwaitingResponse,
    /// The stand-in for a bad head, of which so much has gone on, and nothing after it.
    ReplacementHead { given: usize },
}

/// A caller's connection as hyper reads it.
pub struct RequestReader {
    stream: Rc<TcpStream>,
    connection: Rc<ConnectionState>,
    state: ReadState,
    unread: Vec<u8>,
}

/// Waits until the other side has left, by its end or by a reset, while a request of its is being answered. hyper finds
/// that out where it reads on; this also where it does not, as for a body that nobody takes yet.
pub async fn client_disconnected(stream: &TcpStream, connection: &ConnectionState) {
    // Of these readiness has no more than what says that nothing more will come.
    if stream
        .ready(Interest::PRIORITY | Interest::ERROR)
        .await
        .is_ok()
    {
        poll_fn(|_| {
            if connection.is_answering() {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }
}

impl RequestReader {
    /// For a connection that was just accepted.
    pub fn new(stream: Rc<TcpStream>, connection: Rc<ConnectionState>) -> Self {
        RequestReader {
            stream,
            connection,
            state: ReadState::Head { searched: 0 },
            unread: Vec::new(),
        }
    }

    /// Judges the head that the unread bytes begin with; returns what is read next, if it is whole.
    fn validate_head(&mut self, searched: usize) -> Option<ReadState> {
        let judgement = validate_head(&self.unread, searched);
        if judgement.is_complete() {
            self.connection.has_received_head.set(true);
        }
        match judgement {
            HeadValidation::Incomplete { searched } => {
                self.state = ReadState::Head { searched };
                None
            }
            HeadValidation::Length(remaining) => Some(ReadState::Forwarding { remaining }),
            HeadValidation::Chunked => {
                self.connection.is_last_request.set(true);
                Some(ReadState::ForwardingAll)
            }
            HeadValidation::Malformed | HeadValidation::NeverComplete => {
                Some(ReadState::ForwardingAll)
            }
            HeadValidation::Rejected(head_error) => Some(self.reject_head(head_error)),
        }
    }

    fn reject_head(&self, head_error: HeadError) -> ReadState {
        self.connection.head_error.set(Some(head_error));
        self.connection.is_last_request.set(true);
        ReadState::ReplacementHead { given: 0 }
    }

    /// Moves on from a head, if it is whole or its time is up; else reads more of it. True at the other side's end.
    fn poll_head(&mut self, searched: usize, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        if let Some(head_error) = self.connection.head_error.get() {
            self.state = self.reject_head(head_error);
            return Poll::Ready(Ok(false));
        }
        let next = if self.unread.is_empty() {
            None
        } else {
            self.validate_head(searched)
        };
        if let Some(next) = next {
            self.connection
                .set_answering(!matches!(next, ReadState::ReplacementHead { .. }));
            self.state = next;
            return Poll::Ready(Ok(false));
        }
        let received = ready!(self.poll_receive(context))?;
        Poll::Ready(Ok(received == 0))
    }

    /// Reads into the unread bytes; 0 at the other side's end.
    fn poll_receive(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let read = sockets::poll_append(&self.stream, context, &mut self.unread, READ_CHUNK);
        if self.unread.is_empty() {
            self.unread = Vec::new(); // most connections are idle most of the time
        }
        let received = ready!(read)?;
        self.connection.received(received);
        Poll::Ready(Ok(received))
    }

    /// Gives up to `most` of what has been read, or else of what comes; 0 at the other side's end.
    fn poll_forward(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        most: u64,
    ) -> Poll<io::Result<usize>> {
        let most = buffer
            .remaining()
            .min(usize::try_from(most).unwrap_or(usize::MAX));
        if !self.unread.is_empty() {
            let given = most.min(self.unread.len());
            buffer.put_slice(&self.unread[..given]);
            self.unread.drain(..given);
            return Poll::Ready(Ok(given));
        }
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(most));
        ready!(sockets::poll_read(&self.stream, context, &mut part))?;
        let given = part.filled().len();
        buffer.advance(given);
        Poll::Ready(Ok(given))
    }

    /// Waits for the answer, and keeps what comes meanwhile. True at the other side's end.
    fn poll_while_answering(&mut self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        self.connection.wake_reader_when_answered(context.waker());
        if self.unread.len() >= MAX_HEAD_LENGTH {
            return Poll::Pending; // enough is kept; [`client_disconnected`] hears of the end
        }
        let received = ready!(self.poll_receive(context))?;
        Poll::Ready(Ok(received == 0))
    }
}

impl AsyncRead for RequestReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            match self.state {
                ReadState::Head { searched } => {
                    if ready!(self.poll_head(searched, context))? {
                        self.connection.peer_has_ended.set(true);
                        return Poll::Ready(Ok(()));
                    }
                }
                ReadState::Forwarding { remaining: 0 } => self.state = ReadState::AwaitingResponse,
                ReadState::Forwarding { remaining } => {
                    let given = ready!(self.poll_forward(context, buffer, remaining))?;
                    self.state = ReadState::Forwarding {
                        remaining: remaining - given as u64,
                    };
                    self.connection.peer_has_ended.set(given == 0);
                    return Poll::Ready(Ok(()));
                }
                ReadState::ForwardingAll => {
                    let given = ready!(self.poll_forward(context, buffer, u64::MAX))?;
                    self.connection.peer_has_ended.set(given == 0);
                    return Poll::Ready(Ok(()));
                }
                ReadState::AwaitingResponse if self.connection.is_answering() => {
                    if ready!(self.poll_while_answering(context))? {
                        self.connection.peer_has_ended.set(true);
                        return Poll::Ready(Ok(()));
                    }
                }
                ReadState::AwaitingResponse => {
                    // Of the next one; while it had to wait its clock stood still.
                    self.connection
                        .head_since
                        .set((!self.unread.is_empty()).then(Instant::now));
                    self.state = ReadState::Head { searched: 0 };
                }
                ReadState::ReplacementHead { given } if given < REPLACEMENT_HEAD.len() => {
                    let count = buffer.remaining().min(REPLACEMENT_HEAD.len() - given);
                    buffer.put_slice(&REPLACEMENT_HEAD[given..given + count]);
                    self.state = ReadState::ReplacementHead {
                        given: given + count,
                    };
                    return Poll::Ready(Ok(()));
                }
                // The service answers at once, and the connection ends with that: nobody waits for this.
                ReadState::ReplacementHead { .. } => return Poll::Pending,
            }
        }
    }
}
