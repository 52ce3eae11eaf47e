//! New connections to endpoints.

use super::connection::{EndpointConnection, OpenedConnection};
use super::forwarded_request::EndpointProcess;
use super::host::EndpointHost;
use super::write_progress::WriteProgress;
use std::io;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// Opens a connection to an endpoint. Another connection may be evicted to free a descriptor for it.
///
/// # Errors
/// No descriptor is available, or the connection was not established.
pub async fn connect(
    host: &impl EndpointHost,
    target: &EndpointProcess,
) -> io::Result<EndpointConnection> {
    let permit = host
        .connect_permit()
        .ok_or_else(|| io::Error::other("no file descriptor is available"))?;
    let stream = TcpStream::connect(target.address).await?;
    stream.set_nodelay(true)?;
    let progress = WriteProgress::new(permit.written_attempts);
    let known_process = host.known_process_guard(target);
    let (host, target) = (host.clone(), target.clone());
    // The host may be borrowed when the reset is detected, so the report is made in a task of its own.
    let on_idle_reset = move || drop(spawn_local(async move { host.process_ended(&target) }));
    let connection = OpenedConnection {
        stream,
        progress,
        descriptor: permit.descriptor,
        known_process,
    };
    EndpointConnection::handshake(connection, on_idle_reset).await
}

/// Reports to the host that the endpoint's process has ended, if it refused the connection.
pub fn report_if_refused(host: &impl EndpointHost, target: &EndpointProcess, error: &io::Error) {
    if error.kind() == io::ErrorKind::ConnectionRefused {
        host.process_ended(target);
    }
}
