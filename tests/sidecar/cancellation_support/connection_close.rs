//! The ways in which a client closes its connection.

use socket2::SockRef;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// The way in which a client closes its connection.
#[derive(Clone, Copy, Debug)]
pub enum CloseKind {
    /// Closes both directions by FIN, after the written bytes.
    Full,
    /// Closes the sending direction alone, by FIN.
    Half,
    /// Closes both directions by a reset.
    Reset,
}

/// Every kind of close.
pub const CLOSE_KINDS: [CloseKind; 3] = [CloseKind::Full, CloseKind::Half, CloseKind::Reset];

/// Closes a connection. Returns the stream after a half close, which keeps the other direction open until it is
/// dropped.
pub fn close(stream: TcpStream, kind: CloseKind) -> Option<TcpStream> {
    match kind {
        CloseKind::Full => None,
        CloseKind::Half => {
            stream
                .shutdown(Shutdown::Write)
                .expect("the connection is open");
            Some(stream)
        }
        CloseKind::Reset => {
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .expect("the option is set");
            None
        }
    }
}
