//! Reading and writing on a socket that more than one part of the program looks at.

use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::task::{Context, Poll, ready};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

pub fn poll_read(
    stream: &TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(context))?;
        match stream.try_read(buffer.initialize_unfilled()) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            read => return Poll::Ready(read.map(|n| buffer.advance(n))),
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
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]).is_ok_and(|n| n > 0)
}

/// Tells the other side that nothing more comes.
pub fn end(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).shutdown(Shutdown::Write)
}
