//! The ways in which a client closes its connection.

use socket2::SockRef;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// How a client closes its connection.
#[derive(Clone, Copy, Debug)]
pub enum Close {
    /// Both sides, after what was written.
    Whole,
    /// Its sending side alone.
    Half,
    /// Both sides at once, by a reset.
    Reset,
}

/// Every way to close.
pub const CLOSES: [Close; 3] = [Close::Whole, Close::Half, Close::Reset];

/// Closes a connection; what is left of it stays open for as long as the result is kept.
pub fn close(stream: TcpStream, how: Close) -> Option<TcpStream> {
    match how {
        Close::Whole => None,
        Close::Half => {
            stream.shutdown(Shutdown::Write).expect("it is open");
            Some(stream)
        }
        Close::Reset => {
            SockRef::from(&stream)
                .set_linger(Some(Duration::ZERO))
                .expect("an option");
            None
        }
    }
}
