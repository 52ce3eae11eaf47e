//! A zone's address, its listener, and the connections that were accepted there.

use super::connection;
use super::service::Service;
use super::zone_state::ZoneState;
use crate::reserved_address::ReservedAddress;
use crate::topology::ZoneName;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet, spawn_local};
use tokio::time::sleep;

/// The largest number of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 4096;
/// The pause after a failed accept, for example when the process has no free descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

type Connections = Rc<RefCell<JoinSet<()>>>;

/// The part of the service that serves one zone.
pub(super) struct Zone {
    name: ZoneName,
    address: ReservedAddress,
    state: Rc<ZoneState>,
    connections: Connections,
    /// The task that accepts connections; `None` while discovery is down.
    listener: Option<JoinHandle<()>>,
}

impl Zone {
    pub(super) fn new(name: ZoneName, address: ReservedAddress) -> Self {
        let state = ZoneState {
            is_partitioned: watch::Sender::new(false),
            open_watches: Rc::default(),
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

    /// Returns the number of open watches, which is 0 while the zone is partitioned.
    pub(super) fn open_watches(&self) -> u64 {
        self.state.open_watches.get()
    }

    /// Starts to accept connections unless the zone already does so.
    pub(super) fn listen(&mut self, service: &Rc<Service>) -> io::Result<()> {
        if self.listener.is_none() {
            let listener = TcpListener::from_std(self.address.listen(LISTEN_BACKLOG)?)?;
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

    /// Stops listening and resets the open connections. New ones are refused.
    pub(super) async fn shut_down(&mut self) {
        if let Some(listener) = self.listener.take() {
            listener.abort();
            // The task was aborted, so its result is ignored. Waiting for it ensures that its socket is closed.
            let _ = listener.await;
        }
        self.reset_connections().await;
    }

    /// Partitions the zone. Open and new connections stay open and get no response.
    pub(super) fn partition(&self) {
        self.state.is_partitioned.send_replace(true);
    }

    /// Ends a partition. Resets the connections that it affected and serves new ones.
    pub(super) async fn heal(&self) {
        if self.state.is_partitioned.send_replace(false) {
            self.reset_connections().await;
        }
    }

    async fn reset_connections(&self) {
        let mut connections = self.connections.take();
        connections.shutdown().await;
    }
}

/// Accepts connections and starts a task for each.
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
        service.update_usage(|usage| usage.connections += 1);
        if connection::configure(&stream).is_err() {
            continue;
        }
        let mut connections = connections.borrow_mut();
        while connections.try_join_next().is_some() {}
        connections.spawn_local(connection::serve(stream, state.clone(), service.clone()));
    }
}
