//! Callers' connections and idle connections to endpoints, with the descriptor budget that they share.

use crate::policy::{EndpointId, Limits};
use crate::sidecar::caller::{AddedCaller, Admission, CallerTable, DrainState, EvictionGain};
use crate::sidecar::counters::EarlyRejection;
use crate::sidecar::descriptors::{DescriptorBudget, DescriptorPermit, OpenConnections, PeerKind};
use crate::sidecar::endpoint::{
    ConnectionPool, EndpointConnection, EndpointProcess, IdleConnectionPolicy, KnownProcessGuard,
    KnownProcesses, SweepTask,
};
use crate::sidecar::memory::{MemoryBudget, MemoryReservation};
use crate::sidecar::memory_costs::{CALLER_CONNECTION, IDLE_ENDPOINT_CONNECTION};
use crate::task::Task;
use std::cell::Cell;
use tokio::time::Instant;

/// Callers' connections, idle connections to endpoints, and the budget of descriptors for all connections.
pub struct Connections {
    callers: CallerTable,
    pool: ConnectionPool,
    descriptors: DescriptorBudget,
    /// The budget of the process's memory.
    memory: MemoryBudget,
    known_processes: KnownProcesses,
    /// Advances a drain through its states. It is aborted when the drain ends.
    drain_task: Option<Task>,
}

/// A caller's connection that has been admitted.
pub struct AdmittedCaller {
    /// The connection as the table has added it.
    pub added: AddedCaller,
    /// States whether its requests are served or rejected.
    pub admission: Admission,
    /// Its share of the budgets.
    pub permit: CallerPermit,
}

/// The descriptor and the memory of a caller's connection, which count as in use until this is dropped.
pub struct CallerPermit {
    _descriptor: DescriptorPermit,
    memory: Cell<Option<MemoryReservation>>,
}

impl CallerPermit {
    /// Returns the memory of a connection whose buffers have been freed. It keeps its descriptor.
    pub fn return_memory(&self) {
        self.memory.take();
    }
}

/// How much memory may be reserved beyond the budget for connections whose first request is rejected, in bytes.
const REJECTION_OVERCOMMIT: usize = 128 * CALLER_CONNECTION;

impl Connections {
    /// Creates the tables, without any connection.
    pub fn new(limits: &Limits, descriptors: DescriptorBudget, memory: MemoryBudget) -> Self {
        Connections {
            callers: CallerTable::default(),
            pool: ConnectionPool::new(limits),
            descriptors,
            memory,
            known_processes: KnownProcesses::default(),
            drain_task: None,
        }
    }

    /// Returns the callers' connections.
    pub fn callers(&self) -> &CallerTable {
        &self.callers
    }

    /// Returns a mutable reference to the callers' connections.
    pub fn callers_mut(&mut self) -> &mut CallerTable {
        &mut self.callers
    }

    /// Admits a connection that was just accepted. If the callers' limit or that of memory is reached, another connection
    /// is evicted for it. If none can be evicted, it is admitted, but its requests are rejected. Returns `None` if there
    /// is no descriptor or no memory even for the rejection.
    pub fn admit_caller(&mut self) -> Option<AdmittedCaller> {
        let admission = match self.reached_limit() {
            Some(limit) if !self.evict_for_caller() => Admission::RejectedEarly(limit),
            _ => Admission::Accepted,
        };
        let is_overcommit_reached = self.descriptors.is_caller_overcommit_reached()
            || self.memory.excess() >= REJECTION_OVERCOMMIT;
        if admission != Admission::Accepted && is_overcommit_reached {
            return None;
        }
        Some(AdmittedCaller {
            added: self.callers.add(admission),
            admission,
            permit: CallerPermit {
                _descriptor: self.descriptors.permit(PeerKind::Caller),
                memory: Cell::new(Some(self.memory.reserve_always(CALLER_CONNECTION))),
            },
        })
    }

    /// Returns the limit that leaves no room for another caller's connection, if one is reached.
    fn reached_limit(&self) -> Option<EarlyRejection> {
        if !self.has_memory() {
            Some(EarlyRejection::Memory)
        } else if self.descriptors.is_caller_limit_reached() {
            Some(EarlyRejection::Descriptors)
        } else {
            None
        }
    }

    /// Returns whether there is memory for another caller's connection.
    fn has_memory(&self) -> bool {
        self.memory.has_room_for(CALLER_CONNECTION)
    }

    /// Closes the connection to an endpoint that has been idle longest. Returns false if there is none.
    pub fn close_oldest_idle(&mut self) -> bool {
        self.pool.close_oldest()
    }

    /// Evicts a connection to free a descriptor or memory for a caller's connection. Returns false if none can be evicted.
    fn evict_for_caller(&mut self) -> bool {
        let needed = if self.has_memory() {
            EvictionGain::Descriptor
        } else {
            EvictionGain::Memory
        };
        let may_close_idle = self.descriptors.is_exhausted() || needed == EvictionGain::Memory;
        (may_close_idle && self.pool.close_oldest()) || self.callers.evict_one(needed)
    }

    /// Returns a permit for the descriptor of a new connection to an endpoint. If the budget is exhausted, the
    /// connection to an endpoint that has been idle longest is closed for it, or else a caller's connection is evicted.
    /// Returns `None` if there is neither.
    pub fn endpoint_connection_permit(&mut self) -> Option<DescriptorPermit> {
        let has_descriptor = !self.descriptors.is_exhausted()
            || self.pool.close_oldest()
            || self.callers.evict_one(EvictionGain::Descriptor);
        has_descriptor.then(|| self.descriptors.permit(PeerKind::Endpoint))
    }

    /// Returns whether all descriptors are in use.
    pub fn descriptors_exhausted(&self) -> bool {
        self.descriptors.is_exhausted()
    }

    /// Returns how many connections are open.
    pub fn open_connections(&self) -> OpenConnections {
        self.descriptors.in_use()
    }

    /// Sets how many connections each other process has open. They count against the same budget.
    pub fn set_other_process_connections(&mut self, connections: impl Iterator<Item = usize>) {
        self.descriptors.set_other_process_connections(connections);
    }

    /// Returns whether a process is known, because a connection that is known to reach it is open.
    pub fn is_known_process(&self, target: &EndpointProcess) -> bool {
        self.known_processes.contains(target)
    }

    /// Records a connection to a process and returns its guard. The process is known until its last guard is dropped.
    pub fn add_known_process(&self, target: &EndpointProcess) -> KnownProcessGuard {
        self.known_processes.add(target)
    }

    /// Takes an idle connection to an endpoint out of the pool.
    pub fn take_idle(&mut self, endpoint: &EndpointId) -> Option<EndpointConnection> {
        self.pool.take(endpoint)
    }

    /// Returns a connection to the pool, or closes it if there is no memory for it.
    pub fn put_idle(&mut self, endpoint: &EndpointId, connection: EndpointConnection) -> SweepTask {
        match self.memory.reserve(IDLE_ENDPOINT_CONNECTION) {
            Some(memory) => self.pool.put(endpoint, connection, memory),
            None => SweepTask::NotNeeded,
        }
    }

    /// Closes the idle connections to an endpoint.
    pub fn close_idle(&mut self, endpoint: &EndpointId) {
        self.pool.close_idle(endpoint);
    }

    /// Closes connections that have been idle for too long. Returns the time of the next sweep, or `None` if the pool
    /// is empty.
    pub fn sweep_idle(&mut self) -> Option<Instant> {
        self.pool.sweep()
    }

    /// Replaces the pool's limits.
    pub fn set_limits(&mut self, limits: &Limits) {
        self.pool.change_limits(limits);
    }

    /// Stops accepting callers, because another process accepts them from now on. Closes idle connections to endpoints,
    /// because that process needs their descriptors more.
    pub fn suspend_accepting(&mut self) {
        self.callers.suspend_accepting();
        self.pool.set_idle_policy(IdleConnectionPolicy::Close);
    }

    /// Resumes accepting callers, because no other process accepts them now. Returns false if accepting was not
    /// suspended or this process is shutting down.
    pub fn resume_accepting(&mut self) -> bool {
        let has_resumed = self.callers.resume_accepting();
        if has_resumed {
            self.pool.set_idle_policy(IdleConnectionPolicy::Keep);
        }
        has_resumed
    }

    /// Lets the pool keep idle connections to endpoints again.
    pub fn keep_idle_connections(&mut self) {
        self.pool.set_idle_policy(IdleConnectionPolicy::Keep);
    }

    /// Begins a drain. `task` advances it through its further states.
    pub fn begin_drain(&mut self, task: Task) {
        self.callers.set_drain_state(Some(DrainState::NotReady));
        self.drain_task = Some(task);
    }

    /// Ends a drain and aborts its task.
    pub fn end_drain(&mut self) {
        self.drain_task = None;
        self.callers.set_drain_state(None);
    }
}
