//! Known processes: processes of endpoints that are certain to run at the addresses in the endpoint list.
//!
//! If the list is outdated, a later process may run at the address of one that has ended. A connection is known to
//! reach the listed process if it is opened while the balancer relies on the list, or while an earlier connection that
//! is known to reach the process is still open.

use super::forwarded_request::EndpointProcess;
use crate::policy::{EndpointId, Timestamp};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// The part of an [`EndpointProcess`] that distinguishes it from other processes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ProcessIdentity {
    endpoint: EndpointId,
    started_at: Option<Timestamp>,
}

type ConnectionCounts = Rc<RefCell<HashMap<ProcessIdentity, usize>>>;

/// The known processes, with the number of open connections to each. While one of these connections is open, the
/// process runs, and a further connection to its address reaches the same process.
#[derive(Debug, Default)]
pub struct KnownProcesses(ConnectionCounts);

/// A guard for a connection to a known process. The process stays known until its last guard is dropped.
#[derive(Debug)]
pub struct KnownProcessGuard {
    process: ProcessIdentity,
    counts: ConnectionCounts,
}

impl KnownProcesses {
    /// Records a connection that is known to reach a process, and returns its guard.
    pub fn add(&self, target: &EndpointProcess) -> KnownProcessGuard {
        let process = ProcessIdentity::from(target);
        *self.0.borrow_mut().entry(process.clone()).or_default() += 1;
        KnownProcessGuard {
            process,
            counts: self.0.clone(),
        }
    }

    /// Returns whether a process is known.
    pub fn contains(&self, target: &EndpointProcess) -> bool {
        self.0.borrow().contains_key(&ProcessIdentity::from(target))
    }
}

impl From<&EndpointProcess> for ProcessIdentity {
    fn from(target: &EndpointProcess) -> Self {
        ProcessIdentity {
            endpoint: target.endpoint.clone(),
            started_at: target.started_at,
        }
    }
}

impl Drop for KnownProcessGuard {
    fn drop(&mut self) {
        let mut counts = self.counts.borrow_mut();
        if let Some(count) = counts.get_mut(&self.process) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.process);
            }
        }
    }
}
