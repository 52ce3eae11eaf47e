//! A client of the discovery service on a plain socket, for its tests.

use fleet_lab::discovery::DiscoveryServer;
use fleet_lab::topology::ZoneName;
use serde_json::Value;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// The longest that a test waits for anything.
pub const LONGEST_WAIT: Duration = Duration::from_secs(20);
/// How long a connection is watched that must stay quiet.
const QUIET: Duration = Duration::from_millis(50);
/// Where discovery answers calls.
pub const LIST: &str = "/v1/endpoints";

/// The zones that discovery serves.
pub fn zones() -> Vec<ZoneName> {
    vec!["r1-z1".into(), "r1-z2".into()]
}

/// A caller on a connection of its own.
pub struct Caller {
    stream: BufReader<TcpStream>,
    /// What has been read of answers so far.
    pub bytes_read: u64,
}

impl Caller {
    /// Connects to the address that discovery has for a zone.
    pub fn connect(server: &DiscoveryServer, zone: usize) -> Self {
        let stream = TcpStream::connect(server.address(&zones()[zone])).unwrap();
        stream.set_read_timeout(Some(LONGEST_WAIT)).unwrap();
        Caller {
            stream: BufReader::new(stream),
            bytes_read: 0,
        }
    }

    /// Sends bytes as they are.
    pub fn send(&mut self, request: &str) {
        self.stream.get_mut().write_all(request.as_bytes()).unwrap();
    }

    /// Asks for a target.
    pub fn get(&mut self, target: &str) {
        self.send(&format!("GET {target} HTTP/1.1\r\nHost: discovery\r\n\r\n"));
    }

    /// A watch whose head has been read.
    pub fn watch(server: &DiscoveryServer, zone: usize, query: &str) -> Self {
        let mut caller = Caller::connect(server, zone);
        caller.get(&format!("{LIST}?follow=1{query}"));
        let (status, head) = caller.head();
        assert_eq!(status, 200);
        assert!(head.contains("Transfer-Encoding: chunked"), "{head}");
        caller
    }

    /// One line with its end.
    fn line(&mut self) -> String {
        let mut line = String::new();
        self.bytes_read += self.stream.read_line(&mut line).unwrap() as u64;
        assert!(line.ends_with("\r\n"), "{line:?}");
        line
    }

    /// So many bytes, as text.
    fn read(&mut self, length: usize) -> String {
        let mut bytes = vec![0; length];
        self.stream.read_exact(&mut bytes).unwrap();
        self.bytes_read += length as u64;
        String::from_utf8(bytes).unwrap()
    }

    /// The status and the lines of an answer's head.
    fn head(&mut self) -> (u16, String) {
        let mut head = self.line();
        while !head.ends_with("\r\n\r\n") {
            head += &self.line();
        }
        (head["HTTP/1.1 ".len()..][..3].parse().unwrap(), head)
    }

    /// The status and the body of an answer with a length.
    pub fn answer(&mut self) -> (u16, String) {
        let (status, head) = self.head();
        let (_, length) = head.split_once("Content-Length: ").unwrap();
        let (length, _) = length.split_once("\r\n").unwrap();
        (status, self.read(length.parse().unwrap()))
    }

    /// One chunk, which is one line.
    pub fn chunk(&mut self) -> String {
        let length = usize::from_str_radix(self.line().trim_end(), 16).unwrap();
        let mut chunk = self.read(length + "\r\n".len());
        assert!(chunk.ends_with("\n\r\n"), "{chunk:?}");
        chunk.truncate(length - "\n".len());
        assert!(!chunk.contains('\n'), "{chunk:?}");
        chunk
    }

    /// One chunk, as [`told`] puts it.
    pub fn message(&mut self) -> String {
        told(&self.chunk())
    }

    /// How the connection ended.
    pub fn ending(&mut self) -> io::Result<usize> {
        self.stream.read(&mut [0; 256])
    }

    /// Nothing comes for a while, and the connection stays open.
    pub fn assert_is_quiet(&mut self) {
        self.stream.get_mut().set_read_timeout(Some(QUIET)).unwrap();
        assert_eq!(self.ending().unwrap_err().kind(), ErrorKind::WouldBlock);
        self.stream
            .get_mut()
            .set_read_timeout(Some(LONGEST_WAIT))
            .unwrap();
    }

    /// The connection has been reset.
    pub fn assert_is_reset(&mut self) {
        assert_eq!(
            self.ending().unwrap_err().kind(),
            ErrorKind::ConnectionReset
        );
    }
}

/// One object as its version, `list` or `changes`, and names with statuses.
pub fn told(text: &str) -> String {
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
