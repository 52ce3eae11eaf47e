//! One operator's connection, on which one command is read and answered.

use super::execute::execute_line;
use super::response::Response;
use super::waiting_connections::WaitingConnection;
use crate::sidecar::node::NodeHandle;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The maximum length of a line in bytes. The longest command has an endpoint's id of 256 bytes, and a margin is added.
const MAX_LINE_LENGTH: usize = 320;
/// The time from the start of a connection within which a complete line must arrive.
const LINE_TIMEOUT: Duration = Duration::from_secs(3);
/// The time for writing the response and for the peer to close its sending side.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves a connection until its end. Sends no response if the connection is closed for a newer one before a line has
/// been received.
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

/// Reads one line of text. Returns `None` if it is incomplete, too long or not UTF-8.
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

/// Writes a response, then reads until the peer closes its sending side. If the connection were closed with unread
/// bytes, it would be reset and the peer could lose the response.
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
