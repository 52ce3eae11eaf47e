//! Reads from and writes to sockets that have more than one owner.

use bytes::BufMut;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Reads into the unfilled part of a buffer, which need not be initialized.
pub fn poll_read(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        match stream.try_read_buf(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result.map(drop)),
        }
    }
}

/// Appends up to `max` received bytes to a vector. The vector grows only once the socket is readable. Returns 0 at the
/// peer's FIN.
pub fn poll_append(
    stream: &TcpStream,
    context: &mut Context<'_>,
    bytes: &mut Vec<u8>,
    max: usize,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        bytes.reserve(max);
        match stream.try_read_buf(&mut (&mut *bytes).limit(max)) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}

/// Writes as many bytes of the slices as fit into the socket's send buffer.
pub fn poll_write(
    stream: &TcpStream,
    context: &mut Context<'_>,
    slices: &[io::IoSlice<'_>],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match stream.try_write_vectored(slices) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}

/// Returns whether received bytes are unread. Asks the kernel, because the runtime is notified later.
pub fn has_unread(stream: &TcpStream) -> bool {
    peek(stream).is_ok_and(|count| count > 0)
}

/// Returns how many received bytes are unread. Asks the kernel, because the runtime is notified later.
pub fn unread_bytes(stream: &TcpStream) -> u64 {
    rustix::io::ioctl_fionread(stream).unwrap_or_default() // fails only for what is not a connection
}

/// Returns whether the peer has sent FIN or has reset the connection, also while received bytes are unread. Asks the
/// kernel, because the runtime is notified later.
pub fn has_peer_closed(stream: &TcpStream) -> bool {
    let mut descriptors = [PollFd::new(stream, PollFlags::RDHUP)];
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    poll(&mut descriptors, Some(&no_wait)).is_ok_and(|ready| ready > 0)
}

/// The state of a connection's receiving side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketState {
    /// The peer has not closed the connection, and no received bytes are unread.
    OpenWithoutUnread,
    /// The peer has reset the connection.
    Reset,
    /// The peer has closed the connection, or received bytes are unread.
    ClosedOrUnread,
}

/// Returns the state of a connection's receiving side. Asks the kernel, because the runtime is notified later.
pub fn state(stream: &TcpStream) -> SocketState {
    match peek(stream).map_err(|error| error.kind()) {
        Err(io::ErrorKind::WouldBlock) => SocketState::OpenWithoutUnread,
        Err(io::ErrorKind::ConnectionReset) => SocketState::Reset,
        _ => SocketState::ClosedOrUnread,
    }
}

fn peek(stream: &TcpStream) -> io::Result<usize> {
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit()])
}

/// Shuts down the sending side, which sends FIN to the peer.
pub fn shutdown_write(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).shutdown(Shutdown::Write)
}

/// Observes the writes to an [`ObservedSocket`].
pub trait WriteObserver {
    /// Handles the result of an attempted write, which is pending if the socket's send buffer is full.
    fn on_write(&self, result: &Poll<io::Result<usize>>);

    /// Handles a flush. By then, the writer has written all of its buffered bytes to the socket.
    fn on_flush(&self) {}
}

/// A shared socket whose writes are reported to an observer.
#[derive(Debug)]
pub struct ObservedSocket<O> {
    stream: Rc<TcpStream>,
    observer: Rc<O>,
}

impl<O: WriteObserver> ObservedSocket<O> {
    /// Wraps a connected socket.
    pub fn new(stream: Rc<TcpStream>, observer: Rc<O>) -> Self {
        ObservedSocket { stream, observer }
    }
}

impl<O: WriteObserver> AsyncRead for ObservedSocket<O> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_read(&self.stream, context, buffer)
    }
}

impl<O: WriteObserver> AsyncWrite for ObservedSocket<O> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = poll_write(&self.stream, context, slices);
        self.observer.on_write(&result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.observer.on_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(shutdown_write(&self.stream))
    }
}
