//! Which endpoints' processes are known to be those that the list names, by open connections to them.

use super::forwarded_request::Target;
use crate::policy::{EndpointId, Timestamp};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// A process of an endpoint, as the list names it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ListedProcess {
    endpoint: EndpointId,
    started_at: Option<Timestamp>,
}

type ConnectionCounts = Rc<RefCell<HashMap<ListedProcess, usize>>>;

/// The processes to which a connection is open that was opened while the list showed them to be running. As long as one
/// such connection is open, the process runs, and a further connection to its address reaches it too.
#[derive(Debug, Default)]
pub struct KnownProcesses(ConnectionCounts);

/// A connection to a known process. The process stays known until the last of them is dropped.
#[derive(Debug)]
pub struct KnownProcess {
    process: ListedProcess,
    counts: ConnectionCounts,
}

impl KnownProcesses {
    /// Records a connection to the process that the list names.
    pub fn add(&self, target: &Target) -> KnownProcess {
        let process = ListedProcess::from(target);
        *self.0.borrow_mut().entry(process.clone()).or_default() += 1;
        KnownProcess {
            process,
            counts: self.0.clone(),
        }
    }

    /// Returns whether a connection to the process that the list names is open.
    pub fn contains(&self, target: &Target) -> bool {
        self.0.borrow().contains_key(&ListedProcess::from(target))
    }
}

impl From<&Target> for ListedProcess {
    fn from(target: &Target) -> Self {
        ListedProcess {
            endpoint: target.endpoint.clone(),
            started_at: target.started_at,
        }
    }
}

impl Drop for KnownProcess {
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
