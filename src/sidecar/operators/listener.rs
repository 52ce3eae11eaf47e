//! The listener for operators' connections.

use super::connection::serve_connection;
use super::permits::ConnectionPermits;
use super::waiting_connections::WaitingConnections;
use crate::sidecar::node::NodeHandle;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

/// The delay after a failed accept. Accepting fails, for example, while the process has no free descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Listens on the operators' address.
///
/// # Errors
/// The address cannot be bound.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Accepts and serves connections until the returned future is dropped.
pub async fn serve(node: NodeHandle, listener: TcpListener) {
    let waiting_connections = WaitingConnections::default();
    let permits = ConnectionPermits::default();
    loop {
        let stream = accept(&listener).await;
        while permits.are_exhausted() && waiting_connections.close_oldest() {
            yield_now().await; // lets the connection's task end
        }
        if permits.are_exhausted() {
            continue; // all other connections are being answered, so the new one is closed unread
        }
        let waiting = waiting_connections.add();
        let permit = permits.acquire();
        let node = node.clone();
        spawn_local(async move {
            let _permit = permit;
            serve_connection(&node, stream, waiting).await;
        });
    }
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log!("operators: a connection could not be accepted: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
