//! A discovery client on a plain socket, for tests of the discovery service.

use fleet_lab::discovery::DiscoveryServer;
use fleet_lab::topology::ZoneName;
use serde_json::Value;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// The longest time that a test waits for a state.
pub const TIMEOUT: Duration = Duration::from_secs(20);
/// A connection without traffic for this time counts as quiet.
const QUIET_TIME: Duration = Duration::from_millis(50);
/// The path of the endpoint list.
pub const LIST_PATH: &str = "/v1/endpoints";

/// Returns the zones that discovery serves.
pub fn zones() -> Vec<ZoneName> {
    vec!["r1-z1".into(), "r1-z2".into()]
}

/// A client on a connection of its own.
pub struct Client {
    stream: BufReader<TcpStream>,
    /// The number of response bytes that have been read.
    pub bytes_read: u64,
}

impl Client {
    /// Connects to the address of discovery for a zone, which is given by its index in [`zones`].
    pub fn connect(server: &DiscoveryServer, zone: usize) -> Self {
        let stream = TcpStream::connect(server.address(&zones()[zone])).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Client {
            stream: BufReader::new(stream),
            bytes_read: 0,
        }
    }

    /// Sends text without changes.
    pub fn send(&mut self, request: &str) {
        self.stream.get_mut().write_all(request.as_bytes()).unwrap();
    }

    /// Sends a `GET` request.
    pub fn get(&mut self, target: &str) {
        self.send(&format!("GET {target} HTTP/1.1\r\nHost: discovery\r\n\r\n"));
    }

    /// Opens a watch and reads the head of its response. `query` is appended to `?follow=1`.
    pub fn watch(server: &DiscoveryServer, zone: usize, query: &str) -> Self {
        let mut client = Client::connect(server, zone);
        client.get(&format!("{LIST_PATH}?follow=1{query}"));
        let (status, head) = client.head();
        assert_eq!(status, 200);
        assert!(head.contains("Transfer-Encoding: chunked"), "{head}");
        client
    }

    /// Reads one line with its line ending.
    fn line(&mut self) -> String {
        let mut line = String::new();
        self.bytes_read += self.stream.read_line(&mut line).unwrap() as u64;
        assert!(line.ends_with("\r\n"), "{line:?}");
        line
    }

    /// Reads a number of bytes as text.
    fn read(&mut self, length: usize) -> String {
        let mut bytes = vec![0; length];
        self.stream.read_exact(&mut bytes).unwrap();
        self.bytes_read += length as u64;
        String::from_utf8(bytes).unwrap()
    }

    /// Reads the head of a response. Returns its status and its text.
    fn head(&mut self) -> (u16, String) {
        let mut head = self.line();
        while !head.ends_with("\r\n\r\n") {
            head += &self.line();
        }
        (head["HTTP/1.1 ".len()..][..3].parse().unwrap(), head)
    }

    /// Reads a response with a `Content-Length`. Returns its status and its body.
    pub fn response(&mut self) -> (u16, String) {
        let (status, head) = self.head();
        let (_, length) = head.split_once("Content-Length: ").unwrap();
        let (length, _) = length.split_once("\r\n").unwrap();
        (status, self.read(length.parse().unwrap()))
    }

    /// Reads one chunk, which must be one line. Returns the line without its line ending.
    pub fn chunk(&mut self) -> String {
        let length = usize::from_str_radix(self.line().trim_end(), 16).unwrap();
        let mut chunk = self.read(length + "\r\n".len());
        assert!(chunk.ends_with("\n\r\n"), "{chunk:?}");
        chunk.truncate(length - "\n".len());
        assert!(!chunk.contains('\n'), "{chunk:?}");
        chunk
    }

    /// Reads one chunk and returns its summary from [`summarize`].
    pub fn message(&mut self) -> String {
        summarize(&self.chunk())
    }

    /// Reads once. Returns 0 if the connection was closed. Fails if it was reset or nothing arrives before the timeout.
    pub fn read_once(&mut self) -> io::Result<usize> {
        self.stream.read(&mut [0; 256])
    }

    /// Asserts that the connection stays open and that nothing is received for [`QUIET_TIME`].
    pub fn assert_is_quiet(&mut self) {
        self.stream
            .get_mut()
            .set_read_timeout(Some(QUIET_TIME))
            .unwrap();
        assert_eq!(self.read_once().unwrap_err().kind(), ErrorKind::WouldBlock);
        self.stream
            .get_mut()
            .set_read_timeout(Some(TIMEOUT))
            .unwrap();
    }

    /// Asserts that the connection was reset.
    pub fn assert_is_reset(&mut self) {
        assert_eq!(
            self.read_once().unwrap_err().kind(),
            ErrorKind::ConnectionReset
        );
    }
}

/// Summarizes a protocol object as its version, `list` or `changes`, and the endpoints' names with statuses.
pub fn summarize(text: &str) -> String {
    let message: Value = serde_json::from_str(text).unwrap();
    let kind = if message["snapshot"].as_bool().unwrap() {
        "list"
    } else {
        "changes"
    };
    let entries = message["endpoints"].as_array().unwrap().iter();
    let entries = entries
        .map(|entry| format!(" {}={}", entry["name"], entry["status"]))
        .collect::<String>();
    format!("{} {kind}{entries}", message["index"]).replace('"', "")
}
