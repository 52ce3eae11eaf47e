//! How a discovery service behaves.

use std::time::Duration;

/// How a discovery service behaves.
#[derive(Clone, Debug)]
pub struct DiscoveryOptions {
    /// Calls (whole lists and watches) that it answers a second, in turn.
    pub calls_per_second: f64,
    /// A call that has waited so long without its turn is answered 503.
    pub longest_wait: Duration,
    /// Time between empty lines on a watch on which nothing changes.
    pub heartbeat: Duration,
    /// How many past versions it remembers; a watch that asks for an older version gets the whole list.
    pub remembered_changes: usize,
}
