//! The part of the new process in a hot restart: it requests the listener and takes over once it is ready.

use super::descriptor_passing::receive_listener;
use super::message_exchange::exchange_messages;
use crate::sidecar::hot_restart::{ProcessRole, SharedDirectory};
use crate::sidecar::node::NodeHandle;
use std::io;
use std::os::unix::net::UnixStream as BlockingUnixStream;
use std::time::Duration;
use tokio::net::{TcpListener, UnixStream};
use tokio::time::sleep;

/// The interval at which the new process checks whether it is ready.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The connection to the old process, which has handed its listening socket over.
#[derive(Debug)]
pub struct OldProcess {
    listener: std::net::TcpListener,
    stream: BlockingUnixStream,
}

impl OldProcess {
    /// Returns the listening socket that the old process has handed over.
    ///
    /// # Errors
    /// The socket is unusable, or the process has no free descriptor.
    pub fn listener(&self) -> io::Result<TcpListener> {
        self.listener.set_nonblocking(true)?;
        TcpListener::from_std(self.listener.try_clone()?)
    }
}

/// Requests the listening socket from the old process. Returns `None` if the hand-over fails or there is no old
/// process, which is the case at every start other than a hot restart.
pub fn request_listener(directory: &SharedDirectory) -> Option<OldProcess> {
    let stream = BlockingUnixStream::connect(directory.socket()).ok()?;
    match receive_listener(&stream) {
        Ok(listener) => Some(OldProcess { listener, stream }),
        Err(error) => {
            log!("hot restart: no listener was received from the old process: {error}");
            None
        }
    }
}

/// Waits until the node is ready or the old process has ended, then announces that this process accepts callers. Starts
/// a task that exchanges messages with the old process until it ends.
///
/// # Errors
/// The stream to the old process cannot be registered with the runtime.
pub async fn take_over(node: &NodeHandle, old_process: OldProcess) -> io::Result<()> {
    old_process.stream.set_nonblocking(true)?;
    let stream = UnixStream::from_std(old_process.stream)?;
    let (process, messages) = node.add_process(ProcessRole::Old);
    let message_node = node.clone();
    tokio::task::spawn_local(async move {
        exchange_messages(&message_node, process, stream, messages).await;
        message_node.other_process_ended(process);
        log!("hot restart: the old process has ended");
    });
    let has_old_process = || node.has_process(process);
    while !node.borrow().is_ready() && has_old_process() {
        sleep(READY_CHECK_INTERVAL).await;
    }
    node.announce_serving();
    Ok(())
}
