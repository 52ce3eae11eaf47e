//! Clients that write a request and leave while it waits.

use crate::stubs::*;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// How a client leaves, and what it has written behind its request by then.
#[derive(Clone, Copy, Debug)]
pub enum Disconnect {
    ByFin(PipelinedBytes),
    ByReset(PipelinedBytes),
}

/// What a client has written behind its request when it leaves.
#[derive(Clone, Copy, Debug)]
pub enum PipelinedBytes {
    Nothing,
    PartialHead,
    CompleteRequest,
    MoreThanIsRead,
}

/// Every way to leave, with everything that may be written behind the request.
pub const ALL_DISCONNECTS: [Disconnect; 8] = [
    Disconnect::ByFin(PipelinedBytes::Nothing),
    Disconnect::ByFin(PipelinedBytes::PartialHead),
    Disconnect::ByFin(PipelinedBytes::CompleteRequest),
    Disconnect::ByFin(PipelinedBytes::MoreThanIsRead),
    Disconnect::ByReset(PipelinedBytes::Nothing),
    Disconnect::ByReset(PipelinedBytes::PartialHead),
    Disconnect::ByReset(PipelinedBytes::CompleteRequest),
    Disconnect::ByReset(PipelinedBytes::MoreThanIsRead),
];

/// A client whose request, or what there is of it, is written.
pub struct WaitingClient(pub TcpStream);

impl WaitingClient {
    /// Connects to the sidecar and writes this.
    pub fn with(sidecar: &Sidecar, request: &str) -> Self {
        let mut stream = TcpStream::connect(sidecar.address).expect("it accepts");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        stream.write_all(request.as_bytes()).expect("it is written");
        WaitingClient(stream)
    }

    /// Writes what is to be behind the request, and closes the connection.
    pub fn disconnect(mut self, how: Disconnect) {
        let (Disconnect::ByFin(behind) | Disconnect::ByReset(behind)) = how;
        let text = match behind {
            PipelinedBytes::Nothing => String::new(),
            PipelinedBytes::PartialHead => "GET /api HTTP/1.1\r\nX-Ha".into(),
            PipelinedBytes::CompleteRequest => get_request("10"),
            PipelinedBytes::MoreThanIsRead => get_request("10").repeat(400),
        };
        self.0.write_all(text.as_bytes()).expect("it is open");
        if let Disconnect::ByReset(_) = how {
            // What was written goes first, so that it may stand unread.
            std::thread::sleep(Duration::from_millis(20));
            SockRef::from(&self.0)
                .set_linger(Some(Duration::ZERO))
                .expect("an option");
        }
    }

    /// Whether an answer with status 200 comes.
    pub fn is_served(&mut self) -> bool {
        let mut start = [0; 13];
        self.0.read_exact(&mut start).is_ok() && &start == b"HTTP/1.1 200 "
    }
}

/// The value of the `X-Request-Id` header of a request.
pub fn request_id(request: &str) -> String {
    let from = request.split("X-Request-Id: ").nth(1).expect("it has one");
    from.split("\r\n").next().expect("a line").to_string()
}
