//! The callers' listening socket: the one that the old process handed over, or a new one.

use super::new_process::OldProcess;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait in the kernel to be accepted.
const BACKLOG: u32 = 1024;

/// Whether another process may bind the same address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortSharing {
    /// No other process may.
    Exclusive,
    /// Another one may (`SO_REUSEPORT`), so that a hot restart is possible also where the listener hand-over fails.
    Shared,
}

/// Returns the callers' listening socket: the old process's where there is one, else a new one at this address.
///
/// # Errors
/// The socket handed over is unusable, or the address cannot be bound.
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
