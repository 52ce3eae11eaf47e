//! The listener for callers' connections.

use super::caller_connection::CallerConnection;
use super::connection;
use crate::sidecar::counters::CallerClose;
use crate::sidecar::node::NodeHandle;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

/// The delay after a failed accept. Accepting fails, for example, while the process has no free descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Accepts connections until the returned future is dropped, except while another process accepts them.
///
/// Accepting waits for nothing else, because connections in the kernel's backlog count as accepted. It yields after
/// each connection, so that evicted ones can close.
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

/// Accepts the connections in the kernel's backlog, then closes the listener. A connection left in the backlog would be
/// reset, and a request on it lost. Accepts from the socket itself, because the runtime is notified of connections
/// later.
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

/// Starts to serve a connection. If there is no descriptor for it, its requests are rejected, or it is closed unread.
fn start_serving(node: &NodeHandle, stream: TcpStream) {
    let admitted = node.borrow().admit_caller();
    let Some(admitted) = admitted else {
        // None of its requests is accepted yet, and accepted ones need the remaining descriptors.
        node.borrow().caller_closed(CallerClose::Unread);
        return;
    };
    let added = admitted.added;
    let connection = CallerConnection {
        node: node.clone(),
        number: added.number,
        stream: Rc::new(stream),
        state: added.state,
        admission: admitted.admission,
        permit: admitted.permit,
    };
    let served = connection::serve(connection, added.close, added.persistence);
    spawn_local(served);
}
