//! Accepts callers' connections.

use super::caller_connection::CallerConnection;
use super::connection;
use crate::sidecar::node::NodeHandle;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

/// Pause after a failed accept, as happens while the process has no descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Accepts connections for as long as it is polled, unless another process does. It waits for nothing else, as connections
/// in the kernel's backlog count as taken. It yields after each connection, so that evicted ones can close.
pub async fn accept(node: NodeHandle, listener: &TcpListener) {
    let mut accepted_elsewhere = node.borrow().callers().watch_accepted_elsewhere();
    loop {
        if *accepted_elsewhere.borrow_and_update() {
            if accepted_elsewhere.changed().await.is_err() {
                return;
            }
            continue;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = accepted_elsewhere.changed() => continue,
        };
        match accepted {
            Ok((stream, _)) => start_serving(&node, stream),
            Err(error) => {
                log!("a connection could not be accepted: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
        yield_now().await;
    }
}

/// Accepts the connections in the kernel's backlog, and closes the listener: a connection that was left there would be
/// reset, and a request on it lost. Accepts from the socket itself, as the runtime learns of connections later.
pub fn accept_backlog(node: &NodeHandle, listener: std::net::TcpListener) {
    while let Ok((stream, _)) = listener.accept() {
        if stream.set_nonblocking(true).is_ok()
            && let Ok(stream) = TcpStream::from_std(stream)
        {
            start_serving(node, stream);
        }
    }
    drop(listener);
}

/// Serves a connection, or rejects its requests where there are no descriptors for it.
fn start_serving(node: &NodeHandle, stream: TcpStream) {
    let Some(admitted) = node.borrow().admit_caller() else {
        return; // closed unread: none of it was taken, and the remaining descriptors are for requests that were
    };
    let accepted = admitted.accepted;
    let connection = CallerConnection {
        node: node.clone(),
        number: accepted.number,
        state: accepted.state,
        admission: admitted.admission,
        _permit: admitted.permit,
    };
    let served = connection::serve(connection, stream, accepted.close, accepted.persistence);
    spawn_local(served);
}
