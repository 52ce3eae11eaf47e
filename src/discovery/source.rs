//! Which discovery is asked.

use std::net::SocketAddr;

/// One discovery that a configuration names, or named: an address under one generation of the configuration. What it
/// tells is told apart from what the next one does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// Where it listens.
    pub address: SocketAddr,
    /// Counted up whenever a reload moves discovery.
    pub generation: u64,
}
