//! One operator's connection: a line is read and its response written.

use super::execute::execute_line;
use super::response::Response;
use super::waiting_connections::WaitingConnection;
use crate::sidecar::node::NodeHandle;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The longest line in bytes: a command with an endpoint's id of 256 bytes, and some more.
const MAX_LINE_LENGTH: usize = 320;
/// From the start of a connection to the end of its line.
const LINE_TIMEOUT: Duration = Duration::from_secs(3);
/// For writing the response, and for the peer to close its side.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves a connection until its end; without a response where it is closed before its line has been received.
pub async fn serve_connection(
    node: &NodeHandle,
    mut stream: TcpStream,
    mut waiting: WaitingConnection,
) {
    let line = tokio::select! {
        line = timeout(LINE_TIMEOUT, read_line(&mut stream)) => line.unwrap_or(None),
        () = waiting.closed() => return,
    };
    drop(waiting);
    let response = execute_line(node, line.as_deref());
    let _ = timeout(RESPONSE_TIMEOUT, write_response(&mut stream, &response)).await;
}

/// Reads one whole line of text. Returns `None` where it is cut off, too long or not UTF-8.
async fn read_line(stream: &mut TcpStream) -> Option<String> {
    let mut buffer = [0; MAX_LINE_LENGTH];
    let mut received = 0;
    loop {
        let length = stream
            .read(&mut buffer[received..])
            .await
            .ok()
            .filter(|length| *length > 0)?;
        let new_bytes = &buffer[received..received + length];
        if let Some(end) = new_bytes.iter().position(|byte| *byte == b'\n') {
            let line = std::str::from_utf8(&buffer[..received + end]);
            return line.ok().map(str::to_string);
        }
        received += length;
    }
}

/// Writes a response and reads up to the peer's end: closed with unread bytes, the connection would be reset, and the
/// response lost with it.
async fn write_response(stream: &mut TcpStream, response: &Response) {
    let text = response.to_string();
    if stream.write_all(text.as_bytes()).await.is_err() || stream.shutdown().await.is_err() {
        return;
    }
    let mut unread = [0; MAX_LINE_LENGTH];
    while stream
        .read(&mut unread)
        .await
        .is_ok_and(|length| length > 0)
    {}
}
