//! The interface through which attempts and health checks use the sidecar.

use super::attempt_result::AttemptResult;
use super::connection::EndpointConnection;
use super::forwarded_request::{AttemptSpec, EndpointProcess};
use super::known_processes::KnownProcessGuard;
use crate::clock::Clock;
use crate::policy::{EndpointId, ListValidity, Timestamp};
use crate::sidecar::descriptors::DescriptorPermit;
use crate::sidecar::memory::MemoryBudget;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Permission to open a connection.
#[derive(Debug)]
pub struct ConnectPermit {
    /// The connection's share of the descriptor budget.
    pub descriptor: DescriptorPermit,
    /// The metric that counts completely written attempts.
    pub written_attempts: Rc<Cell<u64>>,
}

/// The sidecar, as attempts and health checks see it. None of its methods blocks.
pub trait EndpointHost: Clone + 'static {
    /// Returns the sidecar's clock.
    fn clock(&self) -> Clock;

    /// Returns the maximum time in which a connection must be established.
    fn connect_timeout(&self) -> Duration;

    /// Returns the memory budget for responses.
    fn response_memory(&self) -> MemoryBudget;

    /// Returns whether all descriptors are in use.
    fn descriptors_exhausted(&self) -> bool;

    /// Returns a permit to open a connection, or `None` if no descriptor is available. Another connection may be
    /// evicted for it.
    fn connect_permit(&self) -> Option<ConnectPermit>;

    /// Takes an idle connection to an endpoint from the pool. Returns `None` if there is none that can be used.
    fn take_connection(&self, endpoint: &EndpointId) -> Option<EndpointConnection>;

    /// Puts a connection whose exchange is complete into the pool, or closes it if its endpoint takes no more attempts.
    fn return_connection(&self, connection: EndpointConnection, target: &EndpointProcess);

    /// Returns whether an attempt may still be written. It is called just before the first byte, because the request
    /// and the endpoint may have changed while the connection was established.
    fn may_write(&self, spec: &AttemptSpec) -> bool;

    /// Reports that an attempt begins to be written.
    fn attempt_begins(&self, spec: &AttemptSpec);

    /// Reports that an endpoint refused a connection or reset an idle one, which means that its process has ended.
    fn process_ended(&self, target: &EndpointProcess);

    /// Returns a guard for a connection that was just opened, if the connection is known to reach the process that the
    /// endpoint list names.
    fn known_process_guard(&self, target: &EndpointProcess) -> Option<KnownProcessGuard>;

    /// Returns which endpoints may be sent requests under the present list.
    fn list_validity(&self) -> ListValidity;

    /// Reports that an attempt was not written, because the list is overdue and its endpoint may not be sent requests.
    fn overdue_list_used(&self);

    /// Reports that an attempt has ended.
    fn attempt_ended(&self, spec: &AttemptSpec, result: AttemptResult);

    /// Reports that a health check has ended.
    fn health_check_ended(
        &self,
        target: &EndpointProcess,
        elapsed: Duration,
        result: AttemptResult,
    );

    /// Returns the current time of the sidecar's clock.
    fn now(&self) -> Timestamp {
        self.clock().now()
    }
}
