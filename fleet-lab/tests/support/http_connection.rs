//! Plain HTTP/1.1 connections and messages, for tests that call endpoints or run a stub sidecar.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The longest time that a test waits for a state.
pub const TIMEOUT: Duration = Duration::from_secs(10);

/// A request or a response.
pub struct Message {
    /// The words of the first line.
    pub first_line: Vec<String>,
    headers: Vec<(String, String)>,
    /// The body, which may be empty.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the status of a response.
    pub fn status(&self) -> &str {
        &self.first_line[1]
    }

    /// Returns the value of a header. Names are case-insensitive.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// A connection that sends text without changes and receives complete messages.
pub struct Connection(TcpStream);

impl Connection {
    /// Connects to an address.
    pub fn open(address: SocketAddr) -> Self {
        Self::new(TcpStream::connect(address).unwrap())
    }

    /// Wraps a stream and sets its read timeout.
    pub fn new(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Connection(stream)
    }

    /// Sends text without changes.
    pub fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).unwrap();
    }

    /// Reads the next message.
    ///
    /// # Errors
    /// Fails if the connection ends or nothing is received for [`TIMEOUT`].
    pub fn receive(&mut self) -> io::Result<Message> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.0.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).unwrap();
        let mut lines = head.trim_end().split("\r\n");
        let first_line = lines
            .next()
            .unwrap()
            .split(' ')
            .map(str::to_owned)
            .collect();
        let headers = lines.map(|line| line.split_once(": ").unwrap());
        let headers = headers
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        let mut message = Message {
            first_line,
            headers,
            body: Vec::new(),
        };
        let length = message
            .header("content-length")
            .map_or(0, |length| length.parse().unwrap());
        message.body.resize(length, 0);
        self.0.read_exact(&mut message.body)?;
        Ok(message)
    }

    /// Sends a request and reads its response.
    pub fn call(&mut self, text: &str) -> Message {
        self.send(text);
        self.receive().unwrap()
    }
}

/// Returns a `GET` request of the class `browse` with this id.
pub fn get_request(id: &str) -> String {
    format!(
        "GET /api HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Class: browse\r\nX-Deadline: 5.000\r\n\r\n"
    )
}

/// Sends a `GET` request for a path on a new connection.
pub fn check_health(address: SocketAddr, path: &str) -> Message {
    Connection::open(address).call(&format!("GET {path} HTTP/1.1\r\n\r\n"))
}
