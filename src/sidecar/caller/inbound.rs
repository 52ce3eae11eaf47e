//! What comes in on a caller's connection, looked at before hyper reads it.
//!
//! Heads are collected here, judged, and handed on whole and one at a time; hyper still does all the reading that counts. A
//! head that must not be read is replaced by an empty one that the service answers with the fault.
//!
//! While a request is answered what comes behind it is kept here, as hyper looks for the other side's end only where it
//! has nothing unread; and where nobody reads on, the socket is asked whether the other side has left.

use super::head::{Judgement, LONGEST_HEAD, judge};
use super::traffic::{HeadFault, Traffic};
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
const PIECE: usize = 4 << 10;
/// What hyper reads in place of a head that it must not.
const STAND_IN: &[u8] = b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n";

/// What is being read.
#[derive(Clone, Copy)]
enum ReadState {
    /// A head. So many of the unread bytes are known not to hold its end.
    Head { searched: usize },
    /// So much goes on to hyper as it comes: a judged head and its body.
    PassingOn { left: u64 },
    /// All goes on: a body in chunks, whose end only hyper knows. The connection ends with it.
    PassingAll,
    /// The request has gone on whole, and is not answered yet.
    AwaitingAnswer,
    /// The stand-in for a bad head, of which so much has gone on, and nothing after it.
    StandIn { given: usize },
}

/// A caller's connection as hyper reads it.
pub struct Inbound {
    stream: Rc<TcpStream>,
    traffic: Rc<Traffic>,
    state: ReadState,
    unread: Vec<u8>,
}

/// Waits until the other side has left, by its end or by a reset, while a request of its is being answered. hyper finds
/// that out where it reads on; this also where it does not, as for a body that nobody takes yet.
pub async fn client_left(stream: &TcpStream, traffic: &Traffic) {
    // Of these readiness has no more than what says that nothing more will come.
    if stream
        .ready(Interest::PRIORITY | Interest::ERROR)
        .await
        .is_ok()
    {
        poll_fn(|_| {
            if traffic.is_answering() {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }
}

impl Inbound {
    /// For a connection that was just accepted.
    pub fn new(stream: Rc<TcpStream>, traffic: Rc<Traffic>) -> Self {
        Inbound {
            stream,
            traffic,
            state: ReadState::Head { searched: 0 },
            unread: Vec::new(),
        }
    }

    /// Judges the head that the unread bytes begin with; returns what is read next, if it is whole.
    fn judge(&mut self, searched: usize) -> Option<ReadState> {
        let judgement = judge(&self.unread, searched);
        if judgement.is_of_whole_head() {
            self.traffic.has_asked.set(true);
        }
        match judgement {
            Judgement::Incomplete { searched } => {
                self.state = ReadState::Head { searched };
                None
            }
            Judgement::Length(left) => Some(ReadState::PassingOn { left }),
            Judgement::Chunked => {
                self.traffic.is_last_request.set(true);
                Some(ReadState::PassingAll)
            }
            Judgement::Malformed | Judgement::NeverWhole => Some(ReadState::PassingAll),
            Judgement::Fault(fault) => Some(self.refuse(fault)),
        }
    }

    fn refuse(&self, fault: HeadFault) -> ReadState {
        self.traffic.fault.set(Some(fault));
        self.traffic.is_last_request.set(true);
        ReadState::StandIn { given: 0 }
    }

    /// Moves on from a head, if it is whole or its time is up; else reads more of it. True at the other side's end.
    fn poll_head(&mut self, searched: usize, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        if let Some(fault) = self.traffic.fault.get() {
            self.state = self.refuse(fault);
            return Poll::Ready(Ok(false));
        }
        let next = if self.unread.is_empty() {
            None
        } else {
            self.judge(searched)
        };
        if let Some(next) = next {
            self.traffic
                .set_answering(!matches!(next, ReadState::StandIn { .. }));
            self.state = next;
            return Poll::Ready(Ok(false));
        }
        let received = ready!(self.poll_more(context))?;
        Poll::Ready(Ok(received == 0))
    }

    /// Reads into the unread bytes; 0 at the other side's end.
    fn poll_more(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let read = sockets::poll_append(&self.stream, context, &mut self.unread, PIECE);
        if self.unread.is_empty() {
            self.unread = Vec::new(); // most connections are idle most of the time
        }
        let received = ready!(read)?;
        self.traffic.received(received);
        Poll::Ready(Ok(received))
    }

    /// Gives up to `most` of what has been read, or else of what comes; 0 at the other side's end.
    fn poll_pass_on(
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
    fn poll_behind(&mut self, context: &mut Context<'_>) -> Poll<io::Result<bool>> {
        self.traffic.wake_when_answered(context.waker());
        if self.unread.len() >= LONGEST_HEAD {
            return Poll::Pending; // enough is kept; [`client_left`] hears of the end
        }
        let received = ready!(self.poll_more(context))?;
        Poll::Ready(Ok(received == 0))
    }
}

impl AsyncRead for Inbound {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            match self.state {
                ReadState::Head { searched } => {
                    if ready!(self.poll_head(searched, context))? {
                        self.traffic.has_ended.set(true);
                        return Poll::Ready(Ok(()));
                    }
                }
                ReadState::PassingOn { left: 0 } => self.state = ReadState::AwaitingAnswer,
                ReadState::PassingOn { left } => {
                    let given = ready!(self.poll_pass_on(context, buffer, left))?;
                    self.state = ReadState::PassingOn {
                        left: left - given as u64,
                    };
                    self.traffic.has_ended.set(given == 0);
                    return Poll::Ready(Ok(()));
                }
                ReadState::PassingAll => {
                    let given = ready!(self.poll_pass_on(context, buffer, u64::MAX))?;
                    self.traffic.has_ended.set(given == 0);
                    return Poll::Ready(Ok(()));
                }
                ReadState::AwaitingAnswer if self.traffic.is_answering() => {
                    if ready!(self.poll_behind(context))? {
                        self.traffic.has_ended.set(true);
                        return Poll::Ready(Ok(()));
                    }
                }
                ReadState::AwaitingAnswer => {
                    // Of the next one; while it had to wait its clock stood still.
                    self.traffic
                        .head_since
                        .set((!self.unread.is_empty()).then(Instant::now));
                    self.state = ReadState::Head { searched: 0 };
                }
                ReadState::StandIn { given } if given < STAND_IN.len() => {
                    let count = buffer.remaining().min(STAND_IN.len() - given);
                    buffer.put_slice(&STAND_IN[given..given + count]);
                    self.state = ReadState::StandIn {
                        given: given + count,
                    };
                    return Poll::Ready(Ok(()));
                }
                // The service answers at once, and the connection ends with that: nobody waits for this.
                ReadState::StandIn { .. } => return Poll::Pending,
            }
        }
    }
}
