//! The ways in which a client closes its connection.

use socket2::SockRef;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// How a client closes its connection.
#[derive(Clone, Copy, Debug)]
pub enum CloseKind {
    /// Both sides, after what was written.
    Full,
    /// Its sending side alone.
    Half,
    /// Both sides at once, by a reset.
    Reset,
}

/// Every way to close.
pub const ALL_CLOSES: [CloseKind; 3] = [CloseKind::Full, CloseKind::Half, CloseKind::Reset];

/// Closes a connection; what is left of it stays open for as long as the result is kept.
pub fn close(stream: TcpStream, how: CloseKind) -> Option<TcpStream> {
    match how {
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
