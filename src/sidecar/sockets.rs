//! Reading and writing on a socket that more than one part of the program looks at.

use bytes::BufMut;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Reads into the buffer's unfilled part, which need not be initialised.
pub fn poll_read(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        match stream.try_read_buf(buffer) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            read => return Poll::Ready(read.map(drop)),
        }
    }
}

/// Reads up to `most` bytes onto the end of some, which take room for them only once there are any; 0 at the other
/// side's end.
pub fn poll_append(
    stream: &TcpStream,
    context: &mut Context<'_>,
    bytes: &mut Vec<u8>,
    most: usize,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        bytes.reserve(most);
        match stream.try_read_buf(&mut (&mut *bytes).limit(most)) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            read => return Poll::Ready(read),
        }
    }
}

pub fn poll_write(
    stream: &TcpStream,
    context: &mut Context<'_>,
    parts: &[io::IoSlice<'_>],
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match stream.try_write_vectored(parts) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            written => return Poll::Ready(written),
        }
    }
}

/// Whether something has come that was not read. The socket is asked, as the runtime hears of it later.
pub fn has_unread(stream: &TcpStream) -> bool {
    SockRef::from(stream)
        .peek(&mut [MaybeUninit::uninit()])
        .is_ok_and(|n| n > 0)
}

/// Tells the other side that nothing more comes.
pub fn end(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).shutdown(Shutdown::Write)
}

/// Is notified of the writes on an [`ObservedSocket`].
pub trait WriteObserver {
    /// A write was attempted; it is pending where the socket's send buffer is full.
    fn on_write(&self, result: &Poll<io::Result<usize>>);

    /// The writer has handed all of its buffered bytes to the socket.
    fn on_flush(&self) {}
}

/// A shared socket whose writes are reported to an observer.
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
        Poll::Ready(end(&self.stream))
    }
}
