//! The states of TCP connections, read from `/proc/net/tcp`.

use super::full_backlog_endpoint::FullBacklogEndpoint;
use std::net::SocketAddr;

/// A TCP socket, with its ports and state in the notation of `/proc/net/tcp`.
struct Socket {
    local_port: String,
    peer_port: String,
    state: String,
}

/// Returns all TCP sockets over IPv4.
fn tcp_sockets() -> impl Iterator<Item = Socket> {
    let listed = std::fs::read_to_string("/proc/net/tcp").expect("the sockets are listed");
    let sockets: Vec<Socket> = listed.lines().skip(1).filter_map(parse_socket).collect();
    sockets.into_iter()
}

/// Parses one line of `/proc/net/tcp`. Returns `None` if the line is incomplete.
fn parse_socket(line: &str) -> Option<Socket> {
    let mut fields = line.split_whitespace().skip(1);
    let mut next_port = || Some(fields.next()?.split_once(':')?.1.to_string());
    let (local_port, peer_port) = (next_port()?, next_port()?);
    Some(Socket {
        local_port,
        peer_port,
        state: fields.next()?.to_string(),
    })
}

/// Returns a port in the notation of `/proc/net/tcp`.
fn port(address: SocketAddr) -> String {
    format!("{:04X}", address.port())
}

/// Counts the connections to the endpoint that are being established.
pub fn count_connecting(endpoint: &FullBacklogEndpoint) -> usize {
    const SYN_SENT: &str = "02";
    let entry = endpoint.list_entry();
    let address: SocketAddr = entry["address"]
        .as_str()
        .and_then(|text| text.parse().ok())
        .expect("an address");
    tcp_sockets()
        .filter(|socket| socket.peer_port == port(address) && socket.state == SYN_SENT)
        .count()
}

/// Returns whether a client's FIN or reset has reached the server.
pub fn has_received_close(client: SocketAddr, server: SocketAddr) -> bool {
    const CLOSE_WAIT: &str = "08";
    // A connection that was reset is not listed any more.
    tcp_sockets()
        .find(|socket| socket.local_port == port(server) && socket.peer_port == port(client))
        .is_none_or(|socket| socket.state == CLOSE_WAIT)
}
