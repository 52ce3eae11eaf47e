//! Clients that write a request and disconnect while it waits.

use crate::stubs::*;
use socket2::SockRef;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// The way in which a client disconnects, and the bytes that it writes after its request before it does.
#[derive(Clone, Copy, Debug)]
pub enum Disconnect {
    /// It closes the connection, which sends a FIN.
    ByFin(PipelinedBytes),
    /// It resets the connection.
    ByReset(PipelinedBytes),
}

/// The bytes that a client writes after its request before it disconnects.
#[derive(Clone, Copy, Debug)]
pub enum PipelinedBytes {
    /// No bytes.
    Nothing,
    /// The beginning of a head.
    PartialHead,
    /// A second request.
    CompleteRequest,
    /// More bytes than the sidecar buffers while it answers a request.
    MoreThanBuffer,
}

/// Every way to disconnect, with every kind of pipelined bytes.
pub const ALL_DISCONNECTS: [Disconnect; 8] = [
    Disconnect::ByFin(PipelinedBytes::Nothing),
    Disconnect::ByFin(PipelinedBytes::PartialHead),
    Disconnect::ByFin(PipelinedBytes::CompleteRequest),
    Disconnect::ByFin(PipelinedBytes::MoreThanBuffer),
    Disconnect::ByReset(PipelinedBytes::Nothing),
    Disconnect::ByReset(PipelinedBytes::PartialHead),
    Disconnect::ByReset(PipelinedBytes::CompleteRequest),
    Disconnect::ByReset(PipelinedBytes::MoreThanBuffer),
];

/// A client that has written a complete or partial request.
pub struct WaitingClient(pub TcpStream);

impl WaitingClient {
    /// Connects to the sidecar and writes a request.
    pub fn send(sidecar: &Sidecar, request: &str) -> Self {
        let mut stream = TcpStream::connect(sidecar.address).expect("the sidecar accepts");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("the timeout is set");
        stream
            .write_all(request.as_bytes())
            .expect("the request is written");
        WaitingClient(stream)
    }

    /// Writes the pipelined bytes, and disconnects.
    pub fn disconnect(mut self, how: Disconnect) {
        let (Disconnect::ByFin(pipelined) | Disconnect::ByReset(pipelined)) = how;
        let text = match pipelined {
            PipelinedBytes::Nothing => String::new(),
            PipelinedBytes::PartialHead => "GET /api HTTP/1.1\r\nX-Ha".into(),
            PipelinedBytes::CompleteRequest => get_request("10"),
            PipelinedBytes::MoreThanBuffer => get_request("10").repeat(400),
        };
        self.0
            .write_all(text.as_bytes())
            .expect("the connection is open");
        if let Disconnect::ByReset(_) = how {
            // Lets the written bytes arrive first: some may still be unread when the reset arrives.
            std::thread::sleep(Duration::from_millis(20));
            SockRef::from(&self.0)
                .set_linger(Some(Duration::ZERO))
                .expect("the option is set");
        }
    }

    /// Returns whether a response with status 200 arrives.
    pub fn is_served(&mut self) -> bool {
        let mut start = [0; 13];
        self.0.read_exact(&mut start).is_ok() && &start == b"HTTP/1.1 200 "
    }
}

/// Returns the value of a request's `X-Request-Id` header.
pub fn request_id(request: &str) -> String {
    let value = request
        .split("X-Request-Id: ")
        .nth(1)
        .expect("the request has an id");
    value.split("\r\n").next().expect("a line").to_string()
}
