//! The budget of file descriptors, which connections of callers and connections to endpoints share.

use std::cell::Cell;
use std::rc::Rc;

/// Descriptors that are not budgeted: the standard streams, the runtime's, the listener, discovery, and a few connections
/// that are about to be closed.
const RESERVED_DESCRIPTORS: usize = 32;
/// How many connections beyond their limit callers may have while evicted ones are still closing.
const CALLER_OVERCOMMIT: usize = 8;
/// The fraction of the budget that is reserved for connections to endpoints, in eighths.
const ENDPOINT_EIGHTHS: usize = 3;

/// The budget, and how much of it is in use.
#[derive(Debug)]
pub struct DescriptorBudget {
    budget: usize,
    reserved: usize,
    /// Descriptors that the sidecar's other processes use, during a hot restart.
    other_processes: Cell<usize>,
    callers: Rc<Cell<usize>>,
    endpoints: Rc<Cell<usize>>,
}

/// The peer of a connection.
#[derive(Clone, Copy, Debug)]
pub enum PeerKind {
    /// A caller.
    Callers,
    /// An endpoint.
    Endpoints,
}

/// One connection's descriptor, in use until this is dropped.
#[derive(Debug)]
pub struct DescriptorPermit(Rc<Cell<usize>>);

/// How many connections are open.
#[derive(Clone, Copy, Debug)]
pub struct OpenConnections {
    /// Those of callers.
    pub callers: usize,
    /// Those to endpoints.
    pub endpoints: usize,
}

impl OpenConnections {
    /// Returns the number of all connections.
    pub fn total(&self) -> usize {
        self.callers + self.endpoints
    }
}

impl DescriptorBudget {
    /// Creates the budget of a process that may open `limit` descriptors, of which `reserved` are needed beside
    /// [`RESERVED_DESCRIPTORS`].
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

    /// Returns a permit for one more connection. It does not check the budget.
    pub fn permit(&self, peer: PeerKind) -> DescriptorPermit {
        let open = match peer {
            PeerKind::Callers => &self.callers,
            PeerKind::Endpoints => &self.endpoints,
        };
        open.set(open.get() + 1);
        DescriptorPermit(open.clone())
    }

    /// Returns this process's open connections.
    pub fn in_use(&self) -> OpenConnections {
        OpenConnections {
            callers: self.callers.get(),
            endpoints: self.endpoints.get(),
        }
    }

    /// Sets how many connections each other process of the sidecar has open. Their reserved descriptors are added.
    pub fn set_other_process_connections(&self, connections: impl Iterator<Item = usize>) {
        let descriptors = connections.map(|open| open + self.reserved).sum();
        self.other_processes.set(descriptors);
    }

    /// Returns the budget that is left to this process beside the other ones.
    fn own_budget(&self) -> usize {
        self.budget
            .saturating_sub(self.other_processes.get())
            .max(CALLER_OVERCOMMIT)
    }

    /// Returns whether all descriptors are in use.
    pub fn is_exhausted(&self) -> bool {
        self.in_use().total() >= self.own_budget()
    }

    /// Returns whether another caller's connection would take a descriptor that attempts need: each pending request may
    /// have one in flight, so callers may not use the whole budget.
    pub fn is_caller_limit_reached(&self) -> bool {
        self.is_exhausted() || self.callers.get() >= self.caller_limit()
    }

    /// Returns whether callers are beyond their limit by as much as is tolerated.
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
