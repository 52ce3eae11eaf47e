//! The old process's side of a hot restart: it hands its listener to one new process after another.

use super::descriptor_passing::send_listener;
use super::message_exchange::exchange_messages;
use crate::sidecar::hot_restart::{ProcessRole, SharedDirectory};
use crate::sidecar::node::{NodeHandle, TakeoverEnd};
use crate::sidecar::server;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::time::sleep;

/// Delay after an accept that failed, as it does while the process is out of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Hands the listener to each new process that connects, one at a time, and exchanges messages with it until it ends.
/// Callers are accepted here again then. Returns if the socket cannot be bound, or if this process is shutting down when
/// the new one ends.
pub async fn serve_new_processes(
    node: NodeHandle,
    directory: Rc<SharedDirectory>,
    listener: TcpListener,
) {
    let mut bound = bind(&directory);
    loop {
        let socket = match &bound {
            Ok(socket) => socket,
            Err(error) => return log!("hot restart: not possible from this process: {error}"),
        };
        let stream = hand_over_to_next(socket, &listener).await;
        let (process, messages) = node.add_process(ProcessRole::New);
        node.send_disabled_endpoints();
        exchange_messages(&node, process, stream, messages).await;
        node.process_ended(process);
        match node.takeover_ended() {
            // This may be the last descriptor of the listener: no other process accepts what is in its backlog.
            TakeoverEnd::ShuttingDown => return server::accept_backlog(&node, listener),
            TakeoverEnd::Resumed => {
                log!("hot restart: the new process has ended; accepting callers again");
            }
            TakeoverEnd::NeverSuspended => log!("hot restart: the new process has ended"),
        }
        // The new process may have renamed its own socket over this one's.
        bound = bind(&directory);
    }
}

/// Binds this process's socket under a name of its own and renames it over the old process's, so that a
/// new process finds a socket at any time.
fn bind(directory: &SharedDirectory) -> io::Result<UnixListener> {
    let temporary_path = directory.temporary_socket();
    let _ = std::fs::remove_file(&temporary_path);
    let socket = UnixListener::bind(&temporary_path)?;
    std::fs::rename(&temporary_path, directory.socket())?;
    Ok(socket)
}

/// Hands the listener to the next process that connects and receives it.
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
