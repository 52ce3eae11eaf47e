//! The exchange of messages between two processes, as lines of JSON, until either process ends.

use crate::sidecar::hot_restart::{OtherProcessId, ProcessMessage};
use crate::sidecar::node::NodeHandle;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// The time without another message after which a process reports its number of open connections if it has changed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum length of a message in bytes. The longest message has an endpoint's id of 256 bytes, each of them
/// escaped.
const MAX_MESSAGE_LENGTH: u64 = 4 << 10;

/// Writes the node's messages to another process, and passes the messages of that process to the node, until the stream
/// ends.
pub async fn exchange_messages(
    node: &NodeHandle,
    process: OtherProcessId,
    stream: UnixStream,
    messages: mpsc::Receiver<ProcessMessage>,
) {
    let (reader, writer) = stream.into_split();
    tokio::select! {
        () = write_messages(node, writer, messages) => {}
        () = read_messages(node, process, reader) => {}
    }
}

/// Writes messages as they are queued. If none is queued for [`HEARTBEAT_INTERVAL`], writes the number of open
/// connections if it has changed.
async fn write_messages(
    node: &NodeHandle,
    mut writer: OwnedWriteHalf,
    mut messages: mpsc::Receiver<ProcessMessage>,
) {
    let mut last_reported = None;
    loop {
        let message = match timeout(HEARTBEAT_INTERVAL, messages.recv()).await {
            Ok(Some(message)) => message,
            Ok(None) => return,
            Err(_) => {
                let connections = node.borrow().open_connections().total();
                if last_reported.replace(connections) == Some(connections) {
                    continue;
                }
                ProcessMessage::OpenConnections(connections)
            }
        };
        let Ok(mut line) = serde_json::to_vec(&message) else {
            continue;
        };
        line.push(b'\n');
        if writer.write_all(&line).await.is_err() {
            return;
        }
    }
}

async fn read_messages(node: &NodeHandle, process: OtherProcessId, reader: OwnedReadHalf) {
    let mut reader = BufReader::new(reader);
    loop {
        let mut line = Vec::new();
        let read = (&mut reader)
            .take(MAX_MESSAGE_LENGTH)
            .read_until(b'\n', &mut line)
            .await;
        if !read.is_ok_and(|length| length > 0) {
            return;
        }
        match serde_json::from_slice(&line) {
            Ok(message) => node.receive(process, message),
            // The other process may be of a later release and send messages that this release does not know.
            Err(error) => log!("hot restart: message from the other process ignored: {error}"),
        }
    }
}
