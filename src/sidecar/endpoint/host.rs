//! What attempts and probes need of the sidecar that makes them.

use super::attempt_result::AttemptResult;
use super::connection::EndpointConnection;
use super::forwarded_request::{AttemptSpec, Target};
use crate::policy::{EndpointId, Timestamp};
use crate::sidecar::clock::Clock;
use crate::sidecar::descriptors::DescriptorPermit;
use crate::sidecar::memory::MemoryBudget;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Leave to open a connection.
pub struct ConnectPermit {
    /// Its share of the descriptors.
    pub descriptor: DescriptorPermit,
    /// The figure of attempts that were written whole.
    pub attempts: Rc<Cell<u64>>,
}

/// The sidecar, as attempts and probes see it. None of its methods waits.
pub trait EndpointHost: Clone + 'static {
    /// The sidecar's clock.
    fn clock(&self) -> Clock;

    /// A connection that is not up by then has failed.
    fn connect_timeout(&self) -> Duration;

    /// The memory for answers.
    fn answer_memory(&self) -> MemoryBudget;

    /// Whether all descriptors are in use.
    fn descriptors_exhausted(&self) -> bool;

    /// Leave to open a connection, for which room may be made; `None` where there is none.
    fn connect_permit(&self) -> Option<ConnectPermit>;

    /// An idle connection to an endpoint, out of the pool.
    fn take_connection(&self, endpoint: &EndpointId) -> Option<EndpointConnection>;

    /// Returns a connection that carried an attempt or a probe to its end; kept if its endpoint still takes work.
    fn return_connection(&self, connection: EndpointConnection, target: &Target);

    /// Whether an attempt may still be written: asked just before its first byte, as everything may have changed while its
    /// connection was made.
    fn may_write(&self, order: &AttemptSpec) -> bool;

    /// An attempt has ended.
    fn attempt_ended(&self, order: &AttemptSpec, result: AttemptResult);

    /// A probe has ended.
    fn health_check_ended(&self, target: &Target, took: Duration, result: AttemptResult);

    /// Now, by the sidecar's clock.
    fn now(&self) -> Timestamp {
        self.clock().now()
    }
}
