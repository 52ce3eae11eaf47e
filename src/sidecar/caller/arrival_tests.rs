//! Tests of what counts as arrived, over a loopback connection.

use super::super::request_reader::RequestReader;
use super::*;
use crate::sidecar::memory::MemoryBudget;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::yield_now;

const BODY_LENGTH: usize = 20_000;

/// One end of a connection for the client, and the parts of the other one.
struct Connection {
    client: TcpStream,
    reader: RequestReader,
    arrival: CallerArrival,
}

impl Connection {
    async fn open() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let client = TcpStream::connect(address).await.expect("it listens");
        let (stream, _) = listener.accept().await.expect("a connection");
        let (stream, state) = (Rc::new(stream), ConnectionState::new());
        Connection {
            client,
            reader: RequestReader::new(
                stream.clone(),
                state.clone(),
                MemoryBudget::new(usize::MAX),
            ),
            arrival: CallerArrival::new(stream, state),
        }
    }

    /// Sends bytes and waits until they have arrived, read or not.
    async fn send(&mut self, bytes: &[u8]) {
        let expected = self.arrival.arrived_bytes() + bytes.len() as u64;
        self.client.write_all(bytes).await.expect("it is open");
        while self.arrival.arrived_bytes() < expected {
            yield_now().await;
        }
        assert_eq!(self.arrival.arrived_bytes(), expected);
    }

    /// Reads as hyper does.
    async fn read(&mut self, max: usize) {
        let mut buffer = vec![0; max];
        let count = self.reader.read(&mut buffer).await.expect("it is open");
        assert!(count > 0);
    }
}

/// The bytes of a body count as arrived while they are unread. Reading them does not change the count.
#[tokio::test]
async fn unread_body_has_arrived() {
    let mut connection = Connection::open().await;
    let head = format!("POST /api HTTP/1.1\r\nHost: s\r\nContent-Length: {BODY_LENGTH}\r\n\r\n");
    connection.send(head.as_bytes()).await;
    connection.read(head.len()).await;
    let request_end = (head.len() + BODY_LENGTH) as u64;
    assert_eq!(connection.arrival.request_end(), Some(request_end));

    connection.send(&[b'x'; BODY_LENGTH - 1]).await;
    assert_eq!(connection.arrival.arrived_bytes(), request_end - 1);
    connection.send(b"x").await;
    assert_eq!(connection.arrival.arrived_bytes(), request_end);
    connection.read(BODY_LENGTH / 2).await;
    assert_eq!(connection.arrival.arrived_bytes(), request_end);
}

/// The head of a request and bytes of its body may arrive and be read together.
#[tokio::test]
async fn body_that_arrives_with_its_head_is_counted_once() {
    let mut connection = Connection::open().await;
    let head = "POST /api HTTP/1.1\r\nHost: s\r\nContent-Length: 10\r\n\r\n";
    connection.send(format!("{head}01234").as_bytes()).await;
    connection.read(head.len()).await;
    let request_end = head.len() as u64 + 10;
    assert_eq!(connection.arrival.request_end(), Some(request_end));
    assert_eq!(connection.arrival.arrived_bytes(), request_end - 5);
    connection.send(b"56789").await;
    assert_eq!(connection.arrival.arrived_bytes(), request_end);
}

/// The end of a chunked request is not known from its head.
#[tokio::test]
async fn chunked_request_has_no_known_end() {
    let mut connection = Connection::open().await;
    let head = "POST /api HTTP/1.1\r\nHost: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    connection.send(head.as_bytes()).await;
    connection.read(head.len()).await;
    assert_eq!(connection.arrival.request_end(), None);
}
