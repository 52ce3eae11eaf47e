//! An endpoint that gives the test the byte stream of each connection, and functions that read and write HTTP/1.1.

use super::caller::*;
use super::config::*;
use super::discovery::*;
use super::message::*;
use super::program::*;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::thread;

/// An endpoint that passes the head of each request, and its connection, to a function of the test.
pub struct RawEndpoint {
    /// The address that the endpoint listens on.
    pub address: SocketAddr,
    /// The heads of requests, in the order of their arrival.
    pub heads: Receiver<String>,
}

/// A connection with a read buffer.
pub type BufferedStream = BufReader<TcpStream>;

impl RawEndpoint {
    /// Starts an endpoint. It calls `respond` for each request with its head and the connection, which `respond` reads
    /// the body from and writes the response to.
    pub fn start(respond: impl Fn(&str, &mut BufferedStream) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the port is bound");
        let address = listener.local_addr().expect("a bound address");
        let (sender, heads) = channel();
        let respond = Arc::new(respond);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (sender, respond) = (sender.clone(), respond.clone());
                stream
                    .set_read_timeout(Some(TEST_TIMEOUT))
                    .expect("the timeout is set");
                thread::spawn(move || {
                    let mut stream = BufReader::new(stream);
                    while let Some(head) = read_head(&mut stream) {
                        let _ = sender.send(head.clone());
                        respond(&head, &mut stream);
                    }
                });
            }
        });
        RawEndpoint { address, heads }
    }

    /// Waits for the head of the next request.
    pub fn next_head(&self) -> String {
        self.heads.recv_timeout(TEST_TIMEOUT).expect("a request")
    }
}

/// Reads a head up to its empty line. Returns `None` if the connection ends first.
pub fn read_head(stream: &mut BufferedStream) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        stream
            .read_line(&mut head)
            .ok()
            .filter(|count| *count > 0)?;
    }
    Some(head)
}

/// Returns the value of the first header with this name, in any letter case.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines()
        .filter_map(|line| line.split_once(": "))
        .find(|(header_name, _)| header_name.eq_ignore_ascii_case(name))
        .map(|(_, value)| value)
}

/// Reads the body that follows a head. Returns `None` if the connection ends before the body is complete.
pub fn read_body(head: &str, stream: &mut BufferedStream) -> Option<Vec<u8>> {
    if let Some(length) = header(head, "content-length") {
        let mut body = vec![0; length.parse().expect("a length")];
        stream.read_exact(&mut body).ok()?;
        return Some(body);
    }
    if header(head, "transfer-encoding") == Some("chunked") {
        return read_chunked_body(stream);
    }
    Some(Vec::new())
}

fn read_chunked_body(stream: &mut BufferedStream) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        stream
            .read_line(&mut line)
            .ok()
            .filter(|count| *count > 0)?;
        let size = usize::from_str_radix(line.trim(), 16).expect("a chunk size");
        let mut chunk = vec![0; size + 2];
        stream.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Returns bytes in which any omission, duplication or reordering can be detected.
pub fn pattern(length: usize) -> Vec<u8> {
    (0..length.div_ceil(4))
        .flat_map(|word| (word as u32).wrapping_mul(2_654_435_761).to_le_bytes())
        .take(length)
        .collect()
}

/// Starts a sidecar with endpoints at these addresses in its cached list, and a stub of discovery that writes no list
/// by itself.
pub fn start_sidecar(addresses: &[SocketAddr]) -> (Sidecar, Discovery) {
    start_sidecar_with(addresses, |config| config)
}

/// Starts a sidecar as [`start_sidecar`] does, with a configuration that `change` has changed.
pub fn start_sidecar_with(
    addresses: &[SocketAddr],
    change: impl FnOnce(Value) -> Value,
) -> (Sidecar, Discovery) {
    let discovery = Discovery::start();
    let entries: Vec<_> = addresses
        .iter()
        .enumerate()
        .map(|(number, address)| list_entry(&format!("e{number}"), *address, "SERVING"))
        .collect();
    let config = change(with_admin_address(config(discovery.address, &entries)));
    (Sidecar::start(&config), discovery)
}

/// Opens a connection to the sidecar, with a read timeout.
pub fn connect(sidecar: &Sidecar) -> BufferedStream {
    let stream = TcpStream::connect(sidecar.address).expect("the sidecar accepts");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("the timeout is set");
    BufReader::new(stream)
}

/// Writes all the bytes; fails the test if the connection is closed.
pub fn send(stream: &mut BufferedStream, bytes: &[u8]) {
    stream
        .get_mut()
        .write_all(bytes)
        .expect("the connection is open");
}

/// Returns the status code in the head of a response.
pub fn status(head: &str) -> &str {
    head.split(' ').nth(1).expect("a status line")
}

/// Returns one chunk of a body that is sent with `Transfer-Encoding: chunked`.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// Returns the head of a request with an idempotency key. `framing` holds the headers that frame the body.
pub fn request_head(class: &str, framing: &str) -> String {
    post_request(class, "15", "").replace(
        "Content-Length: 0",
        &format!("Idempotency-Key: k\r\n{framing}"),
    )
}

/// Returns a part of a body as it is written in the framing that these headers declare.
pub fn framed(framing: &str, part: &[u8]) -> Vec<u8> {
    if framing.contains("chunked") {
        chunk(part)
    } else {
        part.to_vec()
    }
}

/// Returns what follows the last part of a body in the framing that these headers declare.
pub fn end_of_body(framing: &str) -> &'static [u8] {
    if framing.contains("chunked") {
        b"0\r\n\r\n"
    } else {
        b""
    }
}
