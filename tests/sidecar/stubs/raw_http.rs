//! An endpoint scripted on the raw stream of each connection, and helpers that write and read HTTP/1.1 by hand.

use super::caller::*;
use super::discovery::*;
use super::message::*;
use super::program::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::thread;

/// An endpoint that does with each connection as the test says, once the head of a request has come.
pub struct Raw {
    /// Where it listens.
    pub address: SocketAddr,
    /// Heads of requests, as they come.
    pub heads: Receiver<String>,
}

/// A connection, read through a buffer.
pub type Stream = BufReader<TcpStream>;

impl Raw {
    /// Listens on a free port. `does` gets the head of each request and the connection behind it.
    pub fn start(does: impl Fn(&str, &mut Stream) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, heads) = channel();
        let does = Arc::new(does);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (tell, does) = (tell.clone(), does.clone());
                stream
                    .set_read_timeout(Some(TEST_TIMEOUT))
                    .expect("a time-out");
                thread::spawn(move || {
                    let mut stream = BufReader::new(stream);
                    while let Some(head) = read_head(&mut stream) {
                        let _ = tell.send(head.clone());
                        does(&head, &mut stream);
                    }
                });
            }
        });
        Raw { address, heads }
    }

    /// The head of the next request; fails the test if none comes.
    pub fn next_head(&self) -> String {
        self.heads
            .recv_timeout(TEST_TIMEOUT)
            .expect("a request comes")
    }
}

/// Reads a head up to its empty line; none where the connection ends first.
pub fn read_head(stream: &mut Stream) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        stream.read_line(&mut head).ok().filter(|n| *n > 0)?;
    }
    Some(head)
}

/// The value of the first header of this name, in any case of letters.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().filter_map(|l| l.split_once(": "));
    lines
        .filter(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, v)| v)
        .next()
}

/// Reads a body that is framed as the head says; none where it breaks off.
pub fn read_body(head: &str, stream: &mut Stream) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if let Some(length) = header(head, "content-length") {
        body.resize(length.parse().expect("a length"), 0);
        stream.read_exact(&mut body).ok()?;
    } else if header(head, "transfer-encoding") == Some("chunked") {
        loop {
            let mut line = String::new();
            stream.read_line(&mut line).ok().filter(|n| *n > 0)?;
            let size = usize::from_str_radix(line.trim(), 16).expect("a size");
            let mut chunk = vec![0; size + 2];
            stream.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    Some(body)
}

/// Bytes in which nothing can be left out, doubled or moved unseen.
pub fn pattern(length: usize) -> Vec<u8> {
    (0..length.div_ceil(4))
        .flat_map(|n| (n as u32).wrapping_mul(2_654_435_761).to_le_bytes())
        .take(length)
        .collect()
}

/// A sidecar over endpoints at these addresses.
pub fn over(addresses: &[SocketAddr]) -> (Sidecar, Discovery) {
    let discovery = Discovery::start();
    let known: Vec<_> = addresses
        .iter()
        .enumerate()
        .map(|(n, a)| entry(&format!("e{n}"), *a, "SERVING"))
        .collect();
    (
        Sidecar::start(&with_admin_address(config(discovery.address, &known))),
        discovery,
    )
}

/// Opens a connection to the sidecar, with a time-out for reads.
pub fn connect(sidecar: &Sidecar) -> Stream {
    let stream = TcpStream::connect(sidecar.address).expect("it accepts");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out");
    BufReader::new(stream)
}

/// Writes all the bytes; fails the test if the connection is closed.
pub fn send(stream: &mut Stream, bytes: &[u8]) {
    stream.get_mut().write_all(bytes).expect("it is open");
}

/// The status code of an answer's head.
pub fn status(head: &str) -> &str {
    head.split(' ').nth(1).expect("a status line")
}

/// One chunk of a body that is sent with `Transfer-Encoding: chunked`.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

/// The head of a request with a body.
pub fn head(class: &str, framing: &str) -> String {
    let bare = post_request(class, "15", "");
    bare.replace(
        "Content-Length: 0",
        &format!("Idempotency-Key: k\r\n{framing}"),
    )
}
