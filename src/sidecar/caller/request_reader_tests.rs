//! Tests of the reader of requests, over a loopback connection.

use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// The length of a head that takes memory of its own.
const LONG_HEAD_LENGTH: usize = 2 * READ_CHUNK;

/// Sends a long head to a reader with this budget. Returns the reader's error, and what hyper reads first.
async fn read_long_head(budget: &MemoryBudget) -> (Option<HeadError>, Vec<u8>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let mut client = TcpStream::connect(address).await.expect("it listens");
    let (stream, _) = listener.accept().await.expect("a connection");
    let state = ConnectionState::new();
    let mut reader = RequestReader::new(Rc::new(stream), state.clone(), budget.clone());
    let value = "v".repeat(LONG_HEAD_LENGTH);
    let head = format!("GET /api HTTP/1.1\r\nHost: s\r\nH: {value}\r\n\r\n");
    client.write_all(head.as_bytes()).await.expect("it is open");
    let mut read = vec![0; 2 * LONG_HEAD_LENGTH];
    let count = reader.read(&mut read).await.expect("it is open");
    read.truncate(count);
    (state.head_error(), read)
}

/// Guards the memory limit against hundreds of long heads at once (issue 48): one for which there is no memory is answered
/// with a rejection.
#[tokio::test]
async fn long_head_without_memory_is_rejected() {
    let (error, read) = read_long_head(&MemoryBudget::new(0)).await;
    assert_eq!(error, Some(HeadError::NoMemory));
    assert_eq!(read, REPLACEMENT_HEAD);
}

/// The memory of a long head is free again once hyper has read the head.
#[tokio::test]
async fn memory_of_a_long_head_is_freed() {
    let budget = MemoryBudget::new(MAX_HEAD_LENGTH);
    let (error, read) = read_long_head(&budget).await;
    assert_eq!(error, None);
    assert!(read.len() > LONG_HEAD_LENGTH);
    assert_eq!(budget.reserved(), 0);
}
