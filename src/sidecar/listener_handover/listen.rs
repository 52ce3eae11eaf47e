//! The callers' listening socket, which the old process handed over or which is newly bound.

use super::new_process::OldProcess;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// The maximum number of connections in the kernel that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Tells whether another process may bind the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortSharing {
    /// No other process may bind it.
    Exclusive,
    /// Another process may bind it (`SO_REUSEPORT`). A hot restart is then possible even if the listener hand-over
    /// fails.
    Shared,
}

/// Returns the callers' listening socket: that of the old process if there is one, otherwise a new one at this address.
///
/// # Errors
/// The socket that was handed over is unusable, or the address cannot be bound.
pub fn listen(
    address: SocketAddr,
    sharing: PortSharing,
    old_process: Option<&OldProcess>,
) -> io::Result<TcpListener> {
    match old_process {
        Some(old_process) => old_process.listener(),
        None => bind(address, sharing),
    }
}

fn bind(address: SocketAddr, sharing: PortSharing) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    if sharing == PortSharing::Shared {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
