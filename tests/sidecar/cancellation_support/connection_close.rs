//! How a client closes its connection.

use socket2::SockRef;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// How a client closes its connection.
#[derive(Clone, Copy, Debug)]
pub enum CloseKind {
    /// Both directions, after the written bytes.
    Full,
    /// The sending direction alone, by FIN.
    Half,
    /// Both directions, by a reset.
    Reset,
}

/// Every kind of close.
pub const CLOSE_KINDS: [CloseKind; 3] = [CloseKind::Full, CloseKind::Half, CloseKind::Reset];

/// Closes a connection. The result keeps the other direction of a half-closed one open.
pub fn close(stream: TcpStream, kind: CloseKind) -> Option<TcpStream> {
    match kind {
        CloseKind::Full => None,
        CloseKind::Half => {
            stream.shutdown(Shutdown::Write).expect("it is open");
            Some(stream)
        }
        CloseKind::Reset => {
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .expect("an option");
            None
        }
    }
}
