//! The budget of file descriptors, which callers and endpoints share.

use std::cell::Cell;
use std::rc::Rc;

/// Descriptors that are no connections: the standard streams, the runtime's, the listener and discovery, and a few
/// connections that are on their way to being closed.
const RESERVED: usize = 32;
/// Connections over their part that callers may have while those asked to make room are still closing.
const OVERDRAFT: usize = 8;
/// The part of the budget that is kept for connections to endpoints, in eighths.
const ENDPOINTS_EIGHTHS: usize = 3;

/// The budget, and who holds how much of it.
pub struct DescriptorBudget {
    budget: usize,
    reserved: usize,
    /// What other processes hold of the budget, while several are one sidecar.
    other_processes: Cell<usize>,
    callers: Rc<Cell<usize>>,
    endpoints: Rc<Cell<usize>>,
}

/// Whom a connection is to.
#[derive(Clone, Copy)]
pub enum Side {
    /// A caller.
    Callers,
    /// An endpoint.
    Endpoints,
}

/// One connection's share of the budget, for as long as its socket is open.
pub struct DescriptorPermit(Rc<Cell<usize>>);

/// How many connections are held.
#[derive(Clone, Copy)]
pub struct OpenConnections {
    /// To callers.
    pub callers: usize,
    /// To endpoints.
    pub endpoints: usize,
}

impl OpenConnections {
    /// All of them.
    pub fn total(&self) -> usize {
        self.callers + self.endpoints
    }
}

impl DescriptorBudget {
    /// For a process that may hold so many, of which some more are reserved.
    pub fn new(limit: usize, reserved: usize) -> Self {
        let reserved = RESERVED + reserved;
        DescriptorBudget {
            budget: limit.saturating_sub(reserved).max(limit / 2),
            reserved,
            other_processes: Cell::default(),
            callers: Rc::default(),
            endpoints: Rc::default(),
        }
    }

    /// A share for one more connection, whether or not there is room.
    pub fn permit(&self, side: Side) -> DescriptorPermit {
        let held = match side {
            Side::Callers => &self.callers,
            Side::Endpoints => &self.endpoints,
        };
        held.set(held.get() + 1);
        DescriptorPermit(held.clone())
    }

    /// What this process holds.
    pub fn in_use(&self) -> OpenConnections {
        OpenConnections {
            callers: self.callers.get(),
            endpoints: self.endpoints.get(),
        }
    }

    /// Each other process holds so many connections, and what it has reserved.
    pub fn set_other_process_connections(&self, connections: impl Iterator<Item = usize>) {
        self.other_processes
            .set(connections.map(|n| n + self.reserved).sum());
    }

    /// The budget as far as it is this process's.
    fn own_budget(&self) -> usize {
        self.budget
            .saturating_sub(self.other_processes.get())
            .max(OVERDRAFT)
    }

    /// Whether all are in use.
    pub fn is_exhausted(&self) -> bool {
        self.in_use().total() >= self.own_budget()
    }

    /// Whether a further caller would take what attempts need: each open request may have one in flight, so the callers'
    /// connections may not take up all.
    pub fn is_caller_limit_reached(&self) -> bool {
        self.is_exhausted() || self.callers.get() >= self.callers_part()
    }

    /// Whether callers have more than their part by as much as can be lent.
    pub fn is_caller_overcommit_reached(&self) -> bool {
        self.callers.get() >= self.callers_part() + OVERDRAFT
    }

    fn callers_part(&self) -> usize {
        let own = self.own_budget();
        own - own * ENDPOINTS_EIGHTHS / 8
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
