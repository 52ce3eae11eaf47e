//! Accepting callers.

use super::caller_connection::CallerConnection;
use super::connection;
use crate::sidecar::descriptors::Side;
use crate::sidecar::node::{Node, NodeHandle};
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
    let mut accepted_elsewhere = node.borrow().callers.watch_accepted_elsewhere();
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
    let mut guard = node.borrow();
    let Node {
        callers,
        pool,
        descriptors,
        ..
    } = &mut *guard;
    let is_full = descriptors.is_caller_limit_reached();
    let has_made_room =
        is_full && ((descriptors.is_exhausted() && pool.close_oldest()) || callers.evict_one());
    let is_rejected_early = is_full && !has_made_room;
    if is_rejected_early && descriptors.is_caller_overcommit_reached() {
        return; // closed unread: nothing of it was taken, and the descriptors left are for what was
    }
    let permit = descriptors.permit(Side::Callers);
    let accepted = callers.add(is_rejected_early);
    drop(guard);
    let (close, once) = (accepted.close, accepted.is_for_one_request);
    let (number, state) = (accepted.number, accepted.state);
    let connection = CallerConnection {
        node: node.clone(),
        number,
        state,
        is_rejected_early,
        _permit: permit,
    };
    spawn_local(connection::serve(connection, stream, close, once));
}
