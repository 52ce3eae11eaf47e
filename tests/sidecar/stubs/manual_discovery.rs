//! A stub of discovery whose calls the test answers one by one.

use super::message::*;
use super::program::*;
use socket2::SockRef;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The value of the setting `discovery` for lists that are sent on request.
pub const ON_REQUEST_MODE: &str = "subscribe";
/// The value of the setting `discovery` for an agent that pushes lists.
pub const PUSHED_MODE: &str = "automatic";
/// Both values of the setting `discovery`.
pub const DISCOVERY_MODES: [&str; 2] = [ON_REQUEST_MODE, PUSHED_MODE];

const WATCH_RESPONSE_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A stub of discovery. It accepts calls, and the test writes the responses.
pub struct ManualDiscovery(TcpListener);

/// A call of discovery and its connection, which is closed on drop.
pub struct DiscoveryCall {
    pub request_line: String,
    pub stream: TcpStream,
}

impl ManualDiscovery {
    pub fn start() -> Self {
        Self::start_at("127.0.0.1:0".parse().expect("an address"))
    }

    /// Listens on this address.
    pub fn start_at(address: SocketAddr) -> Self {
        Self::from_listener(TcpListener::bind(address).expect("the port is bound"))
    }

    pub fn from_listener(listener: TcpListener) -> Self {
        listener.set_nonblocking(true).expect("the option is set");
        ManualDiscovery(listener)
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("a bound address")
    }

    /// Accepts all pending connections and returns the calls that the sidecar has not closed.
    pub fn take_open_calls(&self) -> Vec<DiscoveryCall> {
        let streams = std::iter::from_fn(|| self.0.accept().ok());
        let calls: Vec<DiscoveryCall> = streams
            .filter_map(|(stream, _)| DiscoveryCall::read(stream))
            .collect();
        calls.into_iter().filter(DiscoveryCall::is_open).collect()
    }

    /// Waits until the sidecar has open calls. Returns the newest, and closes the others.
    pub fn next_open_call(&self) -> DiscoveryCall {
        let mut call = None;
        wait_until("a call", || {
            call = self.take_open_calls().pop();
            call.is_some()
        });
        call.expect("a call")
    }

    /// Waits for the next call.
    pub fn next_call(&self) -> DiscoveryCall {
        let mut call = None;
        wait_until("a call", || {
            call = self.try_next_call();
            call.is_some()
        });
        call.expect("a call")
    }

    /// Returns the next call, if one is pending.
    pub fn try_next_call(&self) -> Option<DiscoveryCall> {
        let (stream, _) = self.0.accept().ok()?;
        Some(DiscoveryCall::read(stream).expect("a request"))
    }
}

impl DiscoveryCall {
    /// Reads the request on a connection. Returns `None` if the connection ends before the request is complete.
    fn read(stream: TcpStream) -> Option<Self> {
        stream.set_nonblocking(false).expect("the option is set");
        let mut reader = BufReader::new(stream);
        let request_line = read_message(&mut reader)?.start_line;
        Some(DiscoveryCall {
            request_line,
            stream: reader.into_inner(),
        })
    }

    /// Returns whether the sidecar has left the connection open.
    pub fn is_open(&self) -> bool {
        is_open_and_silent(&self.stream)
    }

    /// Returns whether the call is a fetch of the full list.
    pub fn is_fetch(&self) -> bool {
        self.request_line.starts_with("GET /v1/endpoints ")
    }

    /// Returns whether the call is a watch on the changes after a version.
    pub fn is_watch_since(&self, version: u64) -> bool {
        self.request_line
            .starts_with(&format!("GET /v1/endpoints?follow=1&since={version} "))
    }

    pub fn write(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .expect("the connection is open");
    }

    /// Answers a fetch with a list.
    pub fn respond_with_list(&mut self, list: &str) {
        self.write(&format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
            list.len()
        ));
    }

    /// Writes the head of a watch's response, without a line.
    pub fn open_watch(&mut self) {
        self.write(WATCH_RESPONSE_HEAD);
    }

    /// Opens the watch and ends it, in one write.
    pub fn open_and_end_watch(&mut self) {
        self.write(&format!("{WATCH_RESPONSE_HEAD}0\r\n\r\n"));
    }

    /// Writes a chunk of the watch's response.
    pub fn write_chunk(&mut self, text: &str) {
        self.write(&format!("{:x}\r\n{text}\r\n", text.len()));
    }

    /// Writes a line of the watch as one chunk.
    pub fn write_line(&mut self, line: &str) {
        self.write_chunk(&format!("{line}\n"));
    }

    /// Writes a heartbeat, which is an empty line. Does nothing if the sidecar has closed the call.
    pub fn try_write_heartbeat(&mut self) {
        let _ = self.stream.write_all(b"1\r\n\n\r\n");
    }

    /// Answers a late call: opens the watch and writes a list in one write. Does nothing if the sidecar has closed the
    /// call.
    pub fn try_write_late_watch(&mut self, list: &str) {
        let line = format!("{list}\n");
        let response = format!("{WATCH_RESPONSE_HEAD}{:x}\r\n{line}\r\n", line.len());
        let _ = self.stream.write_all(response.as_bytes());
    }

    /// Resets the connection.
    pub fn reset(self) {
        SockRef::from(&self.stream)
            .set_linger(Some(Duration::ZERO))
            .expect("the option is set");
    }
}

/// Waits until the sidecar reports this number of endpoints as unavailable.
pub fn wait_for_unavailable(sidecar: &Sidecar, endpoints: u64) {
    wait_until(&format!("{endpoints} are unavailable"), || {
        sidecar.metric("members_unavailable") == Some(endpoints)
    });
}
