//! The budget of file descriptors, which callers' connections and connections to endpoints share.

use std::cell::Cell;
use std::rc::Rc;

/// The number of descriptors outside the budget: for the standard streams, the runtime, the listener, discovery, and a
/// few connections that are about to be closed.
const RESERVED_DESCRIPTORS: usize = 32;
/// The number of connections that callers may have beyond their limit while evicted ones are still closing.
const CALLER_OVERCOMMIT: usize = 8;
/// The share of the budget that callers leave to connections to endpoints, in eighths.
const ENDPOINT_EIGHTHS: usize = 3;

/// The budget of descriptors, and the number of them in use.
#[derive(Debug)]
pub struct DescriptorBudget {
    budget: usize,
    /// The number of descriptors of each process that are outside the budget.
    reserved: usize,
    /// The number of descriptors that the sidecar's other processes use during a hot restart.
    other_processes: Cell<usize>,
    /// The number of open connections from callers.
    callers: Rc<Cell<usize>>,
    /// The number of open connections to endpoints.
    endpoints: Rc<Cell<usize>>,
}

/// The kind of peer that a connection has.
#[derive(Clone, Copy, Debug)]
pub enum PeerKind {
    /// A caller.
    Caller,
    /// An endpoint.
    Endpoint,
}

/// A permit for one connection's descriptor. The descriptor counts as in use until the permit is dropped.
#[derive(Debug)]
pub struct DescriptorPermit(Rc<Cell<usize>>);

/// The numbers of open connections.
#[derive(Clone, Copy, Debug)]
pub struct OpenConnections {
    /// Connections from callers.
    pub callers: usize,
    /// Connections to endpoints.
    pub endpoints: usize,
}

impl OpenConnections {
    /// Returns the number of all connections.
    pub fn total(&self) -> usize {
        self.callers + self.endpoints
    }
}

impl DescriptorBudget {
    /// Creates the budget of a process that may open `limit` descriptors. `reserved` of them are kept outside the
    /// budget in addition to [`RESERVED_DESCRIPTORS`].
    pub fn new(limit: usize, reserved: usize) -> Self {
        let reserved = RESERVED_DESCRIPTORS + reserved;
        DescriptorBudget {
            budget: limit.saturating_sub(reserved).max(limit / 2),
            reserved,
            other_processes: Cell::default(),
            callers: Rc::default(),
            endpoints: Rc::default(),
        }
    }

    /// Returns a permit for one more connection, without checking the budget.
    pub fn permit(&self, peer: PeerKind) -> DescriptorPermit {
        let open = match peer {
            PeerKind::Caller => &self.callers,
            PeerKind::Endpoint => &self.endpoints,
        };
        open.set(open.get() + 1);
        DescriptorPermit(open.clone())
    }

    /// Returns the numbers of this process's open connections.
    pub fn in_use(&self) -> OpenConnections {
        OpenConnections {
            callers: self.callers.get(),
            endpoints: self.endpoints.get(),
        }
    }

    /// Sets the number of open connections of each other process of the sidecar. The reserved descriptors of each
    /// process are added to it.
    pub fn set_other_process_connections(&self, connections: impl Iterator<Item = usize>) {
        let descriptors = connections.map(|open| open + self.reserved).sum();
        self.other_processes.set(descriptors);
    }

    /// Returns the part of the budget that the other processes leave to this one.
    fn own_budget(&self) -> usize {
        self.budget
            .saturating_sub(self.other_processes.get())
            .max(CALLER_OVERCOMMIT)
    }

    /// Returns whether all descriptors of the budget are in use.
    pub fn is_exhausted(&self) -> bool {
        self.in_use().total() >= self.own_budget()
    }

    /// Returns whether callers have all the descriptors that they may use. The rest of the budget is for attempts,
    /// because each pending request may have an attempt in flight.
    pub fn is_caller_limit_reached(&self) -> bool {
        self.is_exhausted() || self.callers.get() >= self.caller_limit()
    }

    /// Returns whether callers' connections exceed their limit by [`CALLER_OVERCOMMIT`].
    pub fn is_caller_overcommit_reached(&self) -> bool {
        self.callers.get() >= self.caller_limit() + CALLER_OVERCOMMIT
    }

    fn caller_limit(&self) -> usize {
        let own_budget = self.own_budget();
        own_budget - own_budget * ENDPOINT_EIGHTHS / 8
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
