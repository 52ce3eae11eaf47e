//! Accepting callers.

use super::caller_connection::CallerConnection;
use super::connection;
use crate::sidecar::node::NodeHandle;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

/// Pause after an accept that failed, as it does while the process is out of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Accepts connections for as long as it is polled, unless another process does. Never waits for anything else: what
/// stands in the kernel's backlog counts as taken. Others get their turn after each, above all those that were asked to
/// make room.
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
            Ok((stream, _)) => start(&node, stream),
            Err(failure) => {
                log!("a connection could not be accepted: {failure}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
        yield_now().await;
    }
}

/// Accepts what waits in the kernel's backlog, and closes the listener: with a connection there it would be reset, and a
/// request that has come on it lost. The socket is asked, as the runtime hears of it later.
pub fn accept_backlog(node: &NodeHandle, listener: std::net::TcpListener) {
    while let Ok((stream, _)) = listener.accept() {
        if stream.set_nonblocking(true).is_ok()
            && let Ok(stream) = TcpStream::from_std(stream)
        {
            start(node, stream);
        }
    }
}

/// Serves a connection, or turns it away where there are no descriptors for it.
fn start(node: &NodeHandle, stream: TcpStream) {
    let Some(admitted) = node.borrow().admit_caller() else {
        return; // closed unread: nothing of it was taken, and the descriptors left are for what was
    };
    let entry = admitted.entry;
    let connection = CallerConnection {
        node: node.clone(),
        number: entry.number,
        state: entry.state,
        is_rejected_early: admitted.is_rejected_early,
        _permit: admitted.permit,
    };
    let (close, once) = (entry.close, entry.is_for_one_request);
    spawn_local(connection::serve(connection, stream, close, once));
}
