//! The other processes of this sidecar during a hot restart, and the directory that they share with this one.

use crate::policy::{EndpointId, RequestId};
use crate::sidecar::admin_state::AdminState;
use crate::sidecar::hot_restart::{
    OtherProcessId, OtherProcesses, ProcessMessage, SharedDirectory,
};
use std::collections::BTreeSet;
use std::rc::Rc;

/// The maximum length of all ids in one message in bytes. Each byte of an id may be escaped, and a message has 4 KiB at most.
const MAX_SENT_IDS_LENGTH: usize = 1 << 10;
/// The length in bytes that a message takes for an id in addition to the id itself.
const ID_OVERHEAD: usize = 3;

/// The other processes of the same sidecar during a hot restart, and the directory that all of them share.
pub struct HotRestart {
    processes: OtherProcesses,
    directory: Option<Rc<SharedDirectory>>,
}

impl HotRestart {
    /// Creates the state of a process that is not connected to any other one yet.
    pub fn new(directory: Option<Rc<SharedDirectory>>) -> Self {
        HotRestart {
            processes: OtherProcesses::default(),
            directory,
        }
    }

    /// Returns the other processes.
    pub fn processes(&self) -> &OtherProcesses {
        &self.processes
    }

    /// Returns a mutable reference to the other processes.
    pub fn processes_mut(&mut self) -> &mut OtherProcesses {
        &mut self.processes
    }

    /// Sends a message to all other processes.
    pub fn broadcast(&self, message: &ProcessMessage) {
        self.processes.send(message, None);
    }

    /// Sends an endpoint's administrative state to all other processes except `origin`, from which it was received.
    pub fn broadcast_admin_state(
        &self,
        endpoint: &EndpointId,
        state: AdminState,
        origin: Option<OtherProcessId>,
    ) {
        let message = ProcessMessage::AdminState {
            endpoint: endpoint.0.to_string(),
            disabled: state.is_disabled(),
        };
        self.processes.send(&message, origin);
    }

    /// Reports to all other processes that attempts of these requests have begun, which must not run twice.
    pub fn broadcast_sent_requests<'a>(&self, requests: impl IntoIterator<Item = &'a RequestId>) {
        if self.processes.is_empty() {
            return;
        }
        let mut ids = Vec::new();
        let mut length = 0;
        for request in requests {
            if length + request.0.len() > MAX_SENT_IDS_LENGTH {
                let message = ProcessMessage::SentRequests(std::mem::take(&mut ids));
                self.broadcast(&message);
                length = 0;
            }
            length += request.0.len() + ID_OVERHEAD;
            ids.push(request.0.to_string());
        }
        if !ids.is_empty() {
            self.broadcast(&ProcessMessage::SentRequests(ids));
        }
    }

    /// Returns the disabled endpoints stored in the shared directory. Returns `None` if nothing is stored or there is
    /// no directory.
    pub fn stored_disabled_endpoints(&self) -> Option<BTreeSet<String>> {
        self.directory.as_ref()?.disabled_endpoints().load()
    }

    /// Stores an endpoint's administrative state in the shared directory. If nothing is stored yet, all endpoints that
    /// this process knows to be disabled are stored with it.
    pub fn store_admin_state<'a>(
        &self,
        endpoint: &EndpointId,
        state: AdminState,
        disabled: impl Iterator<Item = &'a EndpointId>,
    ) {
        if let Some(directory) = &self.directory {
            let disabled = disabled.map(|endpoint| &*endpoint.0);
            directory
                .disabled_endpoints()
                .store(&endpoint.0, state, disabled);
        }
    }

    /// Returns whether the shared directory lacks the last change, because it could not be stored.
    pub fn is_store_stale(&self) -> bool {
        self.directory
            .as_ref()
            .is_some_and(|directory| directory.disabled_endpoints().is_stale())
    }
}
