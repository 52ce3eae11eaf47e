//! New connections to endpoints.

use super::connection::EndpointConnection;
use super::host::EndpointHost;
use super::write_progress::WriteProgress;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpStream;

/// Opens a connection, for which room may be made.
///
/// # Errors
/// There is no room, or the connection does not come up.
pub async fn connect(
    host: &impl EndpointHost,
    address: SocketAddr,
) -> io::Result<EndpointConnection> {
    let permit = host
        .connect_permit()
        .ok_or_else(|| io::Error::other("no descriptors left"))?;
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    EndpointConnection::begin(
        stream,
        WriteProgress::new(permit.attempts),
        permit.descriptor,
    )
    .await
}
