//! Callers of a sidecar, and the requests that they send.

use super::message::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};

/// A caller's connection to a sidecar.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    /// Connects to a sidecar.
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("the sidecar accepts");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("the timeout is set");
        Client {
            stream: BufReader::new(stream),
        }
    }

    /// Writes a request or a part of one.
    pub fn write(&mut self, text: &str) {
        self.stream
            .get_mut()
            .write_all(text.as_bytes())
            .expect("the request is written");
    }

    /// Reads a response. Returns `None` if the connection ends before the response is complete.
    pub fn read(&mut self) -> Option<Message> {
        read_message(&mut self.stream)
    }

    /// Writes a request and reads its response.
    pub fn exchange(&mut self, request: &str) -> Message {
        self.write(request);
        self.read().expect("a complete response")
    }

    /// Returns whether the connection is open and has no unread bytes.
    pub fn is_silent(&self) -> bool {
        is_open_and_silent(self.stream.get_ref())
    }

    /// Waits until the sidecar closes the connection. Returns whether it does so by FIN, not by a reset, and without
    /// sending anything before.
    pub fn wait_for_clean_close(&mut self) -> bool {
        let mut rest = Vec::new();
        self.stream.read_to_end(&mut rest).is_ok() && rest.is_empty()
    }
}

static NEXT_ID: AtomicUsize = AtomicUsize::new(0);

/// Returns an id that no other call in this process has returned.
pub fn unique_id() -> String {
    format!("id-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// Returns a GET request of the class `safe`, with a deadline in seconds.
pub fn get_request(deadline: &str) -> String {
    let id = unique_id();
    format!(
        "GET /api HTTP/1.1\r\nHost: s\r\nX-Request-Id: {id}\r\nX-Class: safe\r\nX-Deadline: {deadline}\r\n\r\n"
    )
}

/// Returns a POST request of a class, with a deadline in seconds.
pub fn post_request(class: &str, deadline: &str, body: &str) -> String {
    let (id, length) = (unique_id(), body.len());
    format!(
        "POST /api HTTP/1.1\r\nHost: s\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Deadline: {deadline}\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
}
