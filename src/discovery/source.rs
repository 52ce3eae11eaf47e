//! The identity of a discovery service.

use std::net::SocketAddr;

/// A discovery service that the configuration names now or named before a reload.
///
/// Lists of different sources are not comparable, even if a later reload returns to an earlier address. The generation
/// distinguishes such sources.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// The address at which the service listens.
    pub address: SocketAddr,
    /// The number of earlier moves from one discovery service to another.
    pub generation: u64,
}
