//! Loopback addresses that stay reserved while nothing listens there.

use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// A loopback address that stays reserved until it is dropped, also while nothing listens there.
///
/// Its socket is bound and never listens, so connections are refused and the system does not assign the port again.
#[derive(Debug)]
pub(crate) struct ReservedAddress {
    address: SocketAddr,
    _socket: Socket,
}

impl ReservedAddress {
    /// Reserves an address that the system chooses.
    pub(crate) fn reserve() -> io::Result<Self> {
        let socket = new_socket()?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        // Set after the bind, so that the system does not choose a port that is reserved already.
        socket.set_reuse_address(true)?;
        let address = socket.local_addr()?.as_socket();
        let address = address.ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(ReservedAddress {
            address,
            _socket: socket,
        })
    }

    /// Returns the address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to listen at the address, with a non-blocking listener.
    pub(crate) fn listen(&self, backlog: i32) -> io::Result<TcpListener> {
        let socket = new_socket()?;
        socket.set_reuse_address(true)?;
        socket.bind(&self.address.into())?;
        socket.listen(backlog)?;
        socket.set_nonblocking(true)?;
        Ok(socket.into())
    }
}

fn new_socket() -> io::Result<Socket> {
    Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))
}
