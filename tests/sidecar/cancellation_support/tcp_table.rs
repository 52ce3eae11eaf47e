//! The state of TCP connections as the system lists it.

use super::full_backlog_endpoint::FullBacklogEndpoint;
use std::net::SocketAddr;

/// A TCP socket of this machine, its ports and state as the system lists them.
struct Socket {
    local: String,
    peer: String,
    state: String,
}

/// All TCP sockets over IPv4 that the system lists now.
fn sockets() -> impl Iterator<Item = Socket> {
    let listed = std::fs::read_to_string("/proc/net/tcp").expect("the sockets are listed");
    let sockets: Vec<Socket> = listed.lines().skip(1).filter_map(socket).collect();
    sockets.into_iter()
}

/// The socket of one line of the system's list; none where the line is cut short.
fn socket(line: &str) -> Option<Socket> {
    let mut fields = line.split_whitespace().skip(1);
    let mut port = || Some(fields.next()?.split_once(':')?.1.to_string());
    let (local, peer) = (port()?, port()?);
    Some(Socket {
        local,
        peer,
        state: fields.next()?.to_string(),
    })
}

/// A port as the system lists it.
fn port(of: SocketAddr) -> String {
    format!("{:04X}", of.port())
}

/// How many connections to it are being made.
pub fn count_connecting(full_backlog_endpoint: &FullBacklogEndpoint) -> usize {
    const SYN_SENT: &str = "02";
    let entry = full_backlog_endpoint.entry();
    let address: SocketAddr = entry["address"]
        .as_str()
        .and_then(|a| a.parse().ok())
        .expect("an address");
    sockets()
        .filter(|s| s.peer == port(address) && s.state == SYN_SENT)
        .count()
}

/// Whether the end of a connection has reached the other side.
pub fn has_received_close(from: SocketAddr, to: SocketAddr) -> bool {
    const CLOSE_WAIT: &str = "08";
    // A reset connection is listed no more.
    sockets()
        .find(|s| s.local == port(to) && s.peer == port(from))
        .is_none_or(|s| s.state == CLOSE_WAIT)
}
