//! New connections to endpoints.

use super::connection::EndpointConnection;
use super::host::EndpointHost;
use super::write_progress::WriteProgress;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Opens a connection. Another one may be closed for its descriptor.
///
/// # Errors
/// No descriptor is available, or the connection was not established.
pub async fn connect(
    host: &impl EndpointHost,
    address: SocketAddr,
) -> io::Result<EndpointConnection> {
    let permit = host
        .connect_permit()
        .ok_or_else(|| io::Error::other("no descriptors left"))?;
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let progress = WriteProgress::new(permit.attempts_written);
    EndpointConnection::handshake(stream, progress, permit.descriptor).await
}
