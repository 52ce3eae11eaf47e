//! A caller's connection as the code that answers its requests has it.

use super::reply::{Reply, rejected};
use crate::sidecar::caller::{Admission, ConnectionState};
use crate::sidecar::descriptors::DescriptorPermit;
use crate::sidecar::node::NodeHandle;
use std::rc::Rc;

/// One caller's connection, which is in the table of callers until this is dropped.
pub struct CallerConnection {
    /// The owner of all request state.
    pub node: NodeHandle,
    /// The connection's number in the table.
    pub number: u64,
    /// What the connection does.
    pub state: Rc<ConnectionState>,
    /// Whether its requests are served.
    pub admission: Admission,
    /// Counts its descriptor.
    pub _permit: DescriptorPermit,
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.node.borrow().callers_mut().remove(self.number);
    }
}

impl CallerConnection {
    /// Returns whether there are no descriptors for the connection, so that its requests are rejected.
    pub fn is_rejected_early(&self) -> bool {
        self.admission == Admission::RejectedEarly
    }

    /// Rejects a request for lack of descriptors or memory.
    pub fn reject_early(&self) -> Reply {
        rejected(self.node.borrow().reject_early())
    }
}
