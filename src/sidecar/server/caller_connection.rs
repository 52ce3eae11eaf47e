//! A caller's connection, as those see it who answer its requests.

use super::reply::{Reply, rejected};
use crate::sidecar::caller::ConnectionState;
use crate::sidecar::descriptors::DescriptorPermit;
use crate::sidecar::node::NodeHandle;
use std::rc::Rc;

/// One caller's connection, in the table for as long as it lives.
pub struct CallerConnection {
    pub node: NodeHandle,
    pub number: u64,
    pub state: Rc<ConnectionState>,
    /// There are no descriptors for it: whatever it asks is refused.
    pub is_rejected_early: bool,
    pub _permit: DescriptorPermit,
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.node.borrow().callers_mut().remove(self.number);
    }
}

impl CallerConnection {
    /// Refuses a request for want of room.
    pub fn reject_early(&self) -> Reply {
        rejected(self.node.borrow().reject_early())
    }
}
