//! A zone's address: its listener and the connections that came in through it.

use super::connection;
use super::service::Service;
use super::zone_state::ZoneState;
use crate::topology::ZoneName;
use socket2::{Domain, Protocol, Socket, Type};
use std::cell::RefCell;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet, spawn_local};
use tokio::time::sleep;

/// Connections that may wait for being accepted.
const LISTEN_BACKLOG: i32 = 4096;
/// Pause after a connection could not be accepted, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// An address of loopback that stays taken while nothing listens there.
///
/// Its socket is bound and never listens: connections are refused, and the system gives the port to nobody else.
pub(super) struct ReservedAddress {
    address: SocketAddr,
    _socket: Socket,
}

impl ReservedAddress {
    /// Takes an address of the system's choice.
    pub(super) fn reserve() -> io::Result<Self> {
        let socket = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = socket
            .local_addr()?
            .as_socket()
            .ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(ReservedAddress {
            address,
            _socket: socket,
        })
    }

    /// The address.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens there.
    fn listen(&self) -> io::Result<TcpListener> {
        let socket = bind(self.address)?;
        socket.listen(LISTEN_BACKLOG)?;
        socket.set_nonblocking(true)?;
        TcpListener::from_std(socket.into())
    }
}

/// Several sockets may be bound to an address in this way, of which one may listen.
fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

type Connections = Rc<RefCell<JoinSet<()>>>;

/// A zone: its address, its listener unless discovery is down, and its connections.
pub(super) struct Zone {
    name: ZoneName,
    address: ReservedAddress,
    state: Rc<ZoneState>,
    connections: Connections,
    listener: Option<JoinHandle<()>>,
}

impl Zone {
    pub(super) fn new(name: ZoneName, address: ReservedAddress) -> Self {
        let state = ZoneState {
            silent: watch::Sender::new(false),
            watches: Rc::default(),
        };
        Zone {
            name,
            address,
            state: Rc::new(state),
            connections: Rc::default(),
            listener: None,
        }
    }

    pub(super) fn name(&self) -> &ZoneName {
        &self.name
    }

    /// Watches that are open and not cut off.
    pub(super) fn watches(&self) -> u64 {
        self.state.watches.get()
    }

    /// Accepts connections, if it does not yet.
    pub(super) fn listen(&mut self, service: &Rc<Service>) -> io::Result<()> {
        if self.listener.is_none() {
            let listener = self.address.listen()?;
            let accepting = accept(
                listener,
                self.connections.clone(),
                self.state.clone(),
                service.clone(),
            );
            self.listener = Some(spawn_local(accepting));
        }
        Ok(())
    }

    /// Refuses connections from now on, and resets those that are open.
    pub(super) async fn go_down(&mut self) {
        if let Some(listener) = self.listener.take() {
            listener.abort();
            // It ends as aborted, with its socket closed.
            let _ = listener.await;
        }
        self.reset_connections().await;
    }

    /// Cuts all connections off, also those to come; or resets these and serves new ones.
    pub(super) async fn set_silent(&mut self, silent: bool) {
        let was_silent = self.state.silent.send_replace(silent);
        if was_silent && !silent {
            self.reset_connections().await;
        }
    }

    async fn reset_connections(&self) {
        let mut connections = self.connections.take();
        connections.shutdown().await;
    }
}

async fn accept(
    listener: TcpListener,
    connections: Connections,
    state: Rc<ZoneState>,
    service: Rc<Service>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        service.count(|usage| usage.connections += 1);
        if connection::prepare(&stream).is_err() {
            continue;
        }
        let mut connections = connections.borrow_mut();
        while connections.try_join_next().is_some() {}
        connections.spawn_local(connection::serve(stream, state.clone(), service.clone()));
    }
}
