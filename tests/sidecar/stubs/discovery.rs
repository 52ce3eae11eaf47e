//! A stub of discovery that answers every call at once with the head of a chunked response. The test writes the body.

use super::message::*;
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

/// Returns an entry of an endpoint list.
pub fn list_entry(name: &str, address: SocketAddr, status: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": "m", "group": 0,
           "status": status, "weight": 1.0, "since_ms": 0})
}

/// Returns an endpoint list with this version as JSON: a full list if `is_snapshot`, else a list of changes.
pub fn endpoint_list(version: u64, is_snapshot: bool, endpoints: &[Value]) -> String {
    json!({"index": version, "snapshot": is_snapshot, "endpoints": endpoints}).to_string()
}

/// A stub of discovery that answers every call with the head of a chunked response, and hands the calls to the test in
/// the order of their arrival.
pub struct Discovery {
    pub address: SocketAddr,
    calls: Receiver<StreamedCall>,
}

/// A call of discovery, either a watch or a fetch of the full list, whose response is being streamed: the head has been
/// written, and the test writes the body.
pub struct StreamedCall {
    pub request_line: String,
    stream: TcpStream,
}

impl Discovery {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the port is bound");
        let address = listener.local_addr().expect("a bound address");
        let (opened, calls) = channel();
        thread::spawn(move || accept_calls(&listener, &opened));
        Discovery { address, calls }
    }

    /// Waits for the next call.
    pub fn next_call(&self) -> StreamedCall {
        self.calls
            .recv_timeout(TEST_TIMEOUT)
            .expect("the sidecar calls discovery")
    }
}

fn accept_calls(listener: &TcpListener, opened: &Sender<StreamedCall>) {
    for stream in listener.incoming().map_while(Result::ok) {
        let Some(mut call) = StreamedCall::read(stream) else {
            continue;
        };
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        if call.stream.write_all(head).is_ok() && opened.send(call).is_err() {
            break;
        }
    }
}

impl StreamedCall {
    /// Reads the request on a connection. Returns `None` if the connection ends before the request is complete.
    fn read(stream: TcpStream) -> Option<Self> {
        let mut reader = BufReader::new(stream);
        let request_line = read_message(&mut reader)?.start_line;
        Some(StreamedCall {
            request_line,
            stream: reader.into_inner(),
        })
    }

    /// Waits until the sidecar closes the connection, and returns whether it does so within [`TEST_TIMEOUT`].
    pub fn wait_for_close(&mut self) -> bool {
        self.stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("the timeout is set");
        matches!(self.stream.read(&mut [0]), Ok(0))
    }

    /// Writes a line. If the sidecar has closed this watch because it was silent, waits for the next one and writes the
    /// line on that one.
    pub fn write_line_reconnecting(&mut self, discovery: &Discovery, line: &str) {
        if !self.is_open() {
            *self = discovery.next_call();
        }
        self.write_line(line);
    }

    /// Returns whether the sidecar has left the connection open.
    fn is_open(&self) -> bool {
        is_open_and_silent(&self.stream)
    }

    /// Ends the response with its last chunk, which completes the answer to a fetch.
    pub fn finish(&mut self) {
        self.stream
            .write_all(b"0\r\n\r\n")
            .expect("the connection is open");
    }

    /// Writes a list as a line of the response. An empty line is a heartbeat.
    pub fn write_line(&mut self, line: &str) {
        let length = line.len() + 1;
        self.stream
            .write_all(format!("{length:x}\r\n{line}\n\r\n").as_bytes())
            .expect("the connection is open");
    }
}
