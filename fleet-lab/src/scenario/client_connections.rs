//! Connections that clients keep open to a sidecar, each with a pending request or idle.

use super::load::{SAFE_CLASS, UNSAFE_CLASS};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The longest time without data while a response is read.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The largest number of headers of a response.
const MAX_HEADERS: usize = 32;
/// The largest length of a response in bytes, including its head.
const MAX_RESPONSE_BYTES: usize = 16 << 10;

/// Connections to one sidecar, which are closed when this value is dropped.
pub(super) struct ClientConnections {
    address: SocketAddr,
    deadline: Duration,
    connections: Vec<TcpStream>,
}

impl ClientConnections {
    /// Creates an empty set of connections.
    pub(super) fn new(address: SocketAddr, deadline: Duration) -> Self {
        ClientConnections {
            address,
            deadline,
            connections: Vec::new(),
        }
    }

    /// Opens connections until there are `count`, each with a pending request that is unsafe to repeat.
    pub(super) fn open_requests(&mut self, count: usize) -> io::Result<()> {
        while self.connections.len() < count {
            let request = self.request("POST", UNSAFE_CLASS);
            let mut connection = self.connect()?;
            connection.write_all(request.as_bytes())?;
            self.connections.push(connection);
        }
        Ok(())
    }

    /// Opens connections until there are `count`, each idle after one response.
    pub(super) fn open_idle(&mut self, count: usize) -> io::Result<()> {
        while self.connections.len() < count {
            let request = self.request("GET", SAFE_CLASS);
            let mut connection = self.connect()?;
            connection.write_all(request.as_bytes())?;
            read_response(&mut connection)?;
            self.connections.push(connection);
        }
        Ok(())
    }

    fn connect(&self) -> io::Result<TcpStream> {
        let connection = TcpStream::connect(self.address)?;
        connection.set_nodelay(true)?;
        connection.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(connection)
    }

    fn request(&self, method: &str, class: &str) -> String {
        let number = self.connections.len();
        let deadline = self.deadline.as_secs_f64();
        let length = if method == "POST" {
            "Content-Length: 0\r\n"
        } else {
            ""
        };
        format!(
            "{method} /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-Id: {number:016x}\r\n\
             X-Class: {class}\r\nX-Deadline: {deadline:.3}\r\n{length}\r\n"
        )
    }
}

/// Reads one response. It must have status 200 and a `Content-Length`.
fn read_response(connection: &mut TcpStream) -> io::Result<()> {
    let mut response = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let read = connection.read(&mut chunk)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        response.extend_from_slice(&chunk[..read]);
        if response_length(&response)?.is_some_and(|length| response.len() >= length) {
            return Ok(());
        }
        if response.len() > MAX_RESPONSE_BYTES {
            return Err(io::Error::other("the sidecar's response is too long"));
        }
    }
}

/// Returns the length of a response including its head, or `None` while the head is incomplete.
fn response_length(response: &[u8]) -> io::Result<Option<usize>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(head) = parsed.parse(response).map_err(io::Error::other)? else {
        return Ok(None);
    };
    if parsed.code != Some(200) {
        return Err(io::Error::other(format!(
            "the sidecar responded with status {}, not 200",
            parsed.code.unwrap_or_default()
        )));
    }
    let length = parsed
        .headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|header| str::from_utf8(header.value).ok()?.parse::<usize>().ok());
    length
        .map(|length| Some(head + length))
        .ok_or_else(|| io::Error::other("the sidecar's response has no valid Content-Length"))
}
