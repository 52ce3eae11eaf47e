//! The part of the old process in a hot restart: it hands its listener to one new process after another.

use super::descriptor_passing::send_listener;
use super::message_exchange::exchange_messages;
use crate::sidecar::hot_restart::{ProcessRole, SharedDirectory};
use crate::sidecar::node::{AcceptStatus, NodeHandle};
use crate::sidecar::server;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::time::sleep;

/// The delay after a failed accept. Accepting fails, for example, while the process has no free descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Hands the listener to each new process that connects, one at a time, and exchanges messages with it until it ends.
/// Then accepts callers in this process again.
///
/// Returns if the socket cannot be bound, or if this process is shutting down when the new one ends.
pub async fn serve_new_processes(
    node: NodeHandle,
    directory: Rc<SharedDirectory>,
    listener: TcpListener,
) {
    let mut bound = bind(&directory);
    loop {
        let socket = match &bound {
            Ok(socket) => socket,
            Err(error) => return log!("hot restart: socket for new processes not bound: {error}"),
        };
        let stream = hand_over_to_next(socket, &listener).await;
        let (process, messages) = node.add_process(ProcessRole::New);
        node.send_disabled_endpoints();
        node.send_serving_endpoints();
        node.send_sent_requests();
        exchange_messages(&node, process, stream, messages).await;
        node.other_process_ended(process);
        match node.new_process_ended() {
            // This may be the last descriptor of the listener. No other process would then accept its backlog.
            AcceptStatus::ShuttingDown => return server::accept_backlog(&node, listener),
            AcceptStatus::Resumed => {
                log!("hot restart: the new process has ended; accepting callers again");
            }
            AcceptStatus::AlreadyAccepting => log!("hot restart: the new process has ended"),
        }
        // The new process may have replaced this process's socket by renaming its own.
        bound = bind(&directory);
    }
}

/// Binds this process's socket at a temporary path, then renames it, which replaces the socket of the previous process.
/// A new process thus finds a socket at any time.
fn bind(directory: &SharedDirectory) -> io::Result<UnixListener> {
    let temporary_path = directory.temporary_socket();
    let _ = std::fs::remove_file(&temporary_path);
    let socket = UnixListener::bind(&temporary_path)?;
    std::fs::rename(&temporary_path, directory.socket())?;
    Ok(socket)
}

/// Waits for a process that connects, and hands the listener to it. Returns the stream to the first process for which
/// this succeeds.
async fn hand_over_to_next(socket: &UnixListener, listener: &TcpListener) -> UnixStream {
    loop {
        let Ok((stream, _)) = socket.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        match send_listener(&stream, listener).await {
            Ok(()) => return stream,
            Err(error) => log!("hot restart: the listener hand-over failed: {error}"),
        }
    }
}
