//! Loopback addresses that stay reserved while nothing listens there.

use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// A loopback address that stays reserved until it is dropped, even while nothing listens there.
///
/// Its socket is bound but never listens. Connections are refused, and the system does not assign the port to another
/// socket.
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
        // The option is set after the bind. Otherwise the system could choose a port that is already reserved.
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

    /// Starts to listen at the address and returns the non-blocking listener.
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
