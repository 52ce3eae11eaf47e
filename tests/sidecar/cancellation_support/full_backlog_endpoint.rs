//! An endpoint whose listen backlog is full.

use crate::stubs::*;
use serde_json::Value;
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// An endpoint whose backlog is full: further connections are not established until the test accepts some. Unlike the
/// `LateAcceptingEndpoint` of `hedged_dials.rs`, it has a backlog of usual length, and does not respond.
pub struct FullBacklogEndpoint {
    listener: TcpListener,
    /// The connections that fill the backlog.
    filling_connections: Vec<TcpStream>,
}

impl FullBacklogEndpoint {
    /// Listens on a free port and fills the backlog: connects until a connection is not established within 300 ms.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the port is bound");
        let address = listener.local_addr().expect("a bound address");
        let fill = || TcpStream::connect_timeout(&address, Duration::from_millis(300));
        let filling_connections = std::iter::from_fn(|| fill().ok()).collect();
        listener.set_nonblocking(true).expect("the option is set");
        FullBacklogEndpoint {
            listener,
            filling_connections,
        }
    }

    /// Returns the endpoint's entry in the endpoint list.
    pub fn list_entry(&self) -> Value {
        list_entry(
            "late",
            self.listener.local_addr().expect("a bound address"),
            "SERVING",
        )
    }

    /// Accepts the next connection of the sidecar, if one is established.
    pub fn try_accept(&self) -> Option<TcpStream> {
        let is_filling = |peer| {
            self.filling_connections
                .iter()
                .any(|filling| filling.local_addr().expect("a bound address") == peer)
        };
        while let Ok((stream, peer)) = self.listener.accept() {
            if !is_filling(peer) {
                stream.set_nonblocking(false).expect("the option is set");
                stream
                    .set_read_timeout(Some(TEST_TIMEOUT))
                    .expect("the timeout is set");
                return Some(stream);
            }
        }
        None
    }

    /// Accepts connections until the sidecar has written on one. Returns the text in lower case.
    pub fn next_written_text(&self) -> String {
        let mut written = String::new();
        wait_until("something is written", || {
            let mut bytes = [0; 4096];
            let length = self
                .try_accept()
                .map_or(0, |mut stream| stream.read(&mut bytes).unwrap_or(0));
            written = String::from_utf8_lossy(&bytes[..length]).to_lowercase();
            !written.is_empty()
        });
        written
    }
}
