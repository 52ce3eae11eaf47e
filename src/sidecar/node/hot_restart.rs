//! The node's part in a hot restart: the other processes of this sidecar, and what they share with it.

use super::state::NodeHandle;
use crate::policy::EndpointId;
use crate::sidecar::admin_state::AdminState;
use crate::sidecar::upgrade::{
    Order, OtherProcesses, ProcessMessage, ProcessNumber, SharedDirectory,
};
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::mpsc;

/// The other processes that are one sidecar with this one for a while, and the directory that they share.
pub struct HotRestart {
    processes: OtherProcesses,
    directory: Option<Rc<SharedDirectory>>,
}

/// What follows from the end of the process that had taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeoverEnd {
    /// Callers are accepted here again.
    Resumed,
    /// Callers were accepted here all along.
    NeverSuspended,
    /// This process is shutting down itself.
    ShuttingDown,
}

impl HotRestart {
    /// Creates the state of a process that knows no other one yet.
    pub fn new(directory: Option<Rc<SharedDirectory>>) -> Self {
        HotRestart {
            processes: OtherProcesses::default(),
            directory,
        }
    }

    /// Returns whether this process has handed its listening socket to another one that still runs.
    pub fn has_new_process(&self) -> bool {
        self.processes.has_one_after()
    }

    /// Sends a message to all other processes.
    pub fn broadcast(&self, message: &ProcessMessage) {
        self.processes.send(message, None);
    }

    /// Sends an endpoint's administrative state to all other processes but the one that it came from.
    pub fn broadcast_admin_state(
        &self,
        endpoint: &EndpointId,
        state: AdminState,
        origin: Option<ProcessNumber>,
    ) {
        let message = ProcessMessage::Disabled {
            endpoint: endpoint.0.to_string(),
            disabled: state.is_disabled(),
        };
        self.processes.send(&message, origin);
    }

    /// Returns the disabled endpoints that the shared directory holds; `None` where it holds none or there is no directory.
    pub fn stored_disabled_endpoints(&self) -> Option<BTreeSet<String>> {
        self.directory.as_ref()?.disabled_endpoints()
    }

    /// Stores an endpoint's administrative state in the shared directory. Where nothing is stored yet, all the endpoints
    /// that this process knows as disabled are stored with it.
    pub fn store_admin_state<'a>(
        &self,
        endpoint: &EndpointId,
        state: AdminState,
        disabled: impl Iterator<Item = &'a EndpointId>,
    ) {
        if let Some(directory) = &self.directory {
            let disabled = disabled.map(|endpoint| &*endpoint.0);
            directory.keep_disabled(&endpoint.0, state.is_disabled(), disabled);
        }
    }

    /// Returns whether the last change could not be stored, so that the shared directory lacks it.
    fn is_store_behind(&self) -> bool {
        self.directory
            .as_ref()
            .is_some_and(|directory| directory.is_behind())
    }
}

impl NodeHandle {
    /// Adds another process; returns what is to be written to it.
    pub fn add_process(&self, order: Order) -> (ProcessNumber, mpsc::Receiver<ProcessMessage>) {
        self.borrow().hot_restart.processes.add(order)
    }

    /// Returns whether another process still runs.
    pub fn has_process(&self, number: ProcessNumber) -> bool {
        self.borrow().hot_restart.processes.contains(number)
    }

    /// Announces to the old process that this one accepts callers from now on.
    pub fn announce_serving(&self) {
        self.borrow()
            .hot_restart
            .broadcast(&ProcessMessage::Serving);
    }

    /// Announces to the other processes that this one shuts down.
    pub fn announce_shutdown(&self) {
        self.borrow()
            .hot_restart
            .broadcast(&ProcessMessage::Stopping);
    }

    /// Sends the disabled endpoints to the other processes: a new one has read the file, but perhaps before the last
    /// change.
    pub fn send_disabled_endpoints(&self) {
        let node = self.borrow();
        for endpoint in node.disabled_endpoints() {
            let hot_restart = &node.hot_restart;
            hot_restart.broadcast_admin_state(endpoint, AdminState::Disabled, None);
        }
    }

    /// Removes a process that has ended, with the connections that it had. It may have stored a last change without
    /// sending it on, so that what is stored applies.
    pub fn process_ended(&self, number: ProcessNumber) {
        let mut guard = self.borrow();
        let node = &mut *guard;
        node.hot_restart.processes.remove(number);
        node.connections
            .set_other_process_connections(node.hot_restart.processes.held_connections());
        let Some(stored) = node.hot_restart.stored_disabled_endpoints() else {
            return;
        };
        let disabled: BTreeSet<String> = node
            .disabled_endpoints()
            .map(|endpoint| endpoint.0.to_string())
            .collect();
        drop(guard);
        for endpoint in disabled.symmetric_difference(&stored) {
            let state = AdminState::from_disabled(stored.contains(endpoint));
            if state.is_disabled() || !self.borrow().hot_restart.is_store_behind() {
                self.apply_admin_state(endpoint.as_str().into(), state);
            }
        }
    }

    /// Accepts callers again after the new process has ended.
    pub fn takeover_ended(&self) -> TakeoverEnd {
        let mut node = self.borrow();
        node.connections.keep_idle();
        let has_resumed = node.connections.resume_accepting();
        if node.connections.callers().are_shutting_down() {
            TakeoverEnd::ShuttingDown
        } else if has_resumed {
            TakeoverEnd::Resumed
        } else {
            TakeoverEnd::NeverSuspended
        }
    }

    /// Handles a message from another process.
    pub fn receive(&self, origin: ProcessNumber, message: ProcessMessage) {
        match message {
            ProcessMessage::Disabled { endpoint, disabled } => {
                let state = AdminState::from_disabled(disabled);
                self.receive_admin_state(origin, endpoint.as_str().into(), state);
            }
            ProcessMessage::Holds(connections) => {
                let mut guard = self.borrow();
                let node = &mut *guard;
                let processes = &mut node.hot_restart.processes;
                processes.set_held(origin, connections);
                node.connections
                    .set_other_process_connections(processes.held_connections());
            }
            ProcessMessage::Serving => {
                self.borrow().connections.suspend_accepting();
                log!("callers go over to the process after");
            }
            ProcessMessage::Stopping => self.receive_stopping(origin),
        }
    }

    /// Accepts callers again where the new process shuts down. The old process's shutdown changes nothing here.
    fn receive_stopping(&self, origin: ProcessNumber) {
        let mut node = self.borrow();
        if node.hot_restart.processes.is_after(origin) && node.connections.resume_accepting() {
            log!("the process after stops; callers are let in here again");
        }
    }

    fn receive_admin_state(&self, origin: ProcessNumber, endpoint: EndpointId, state: AdminState) {
        if self.borrow().admin_state(&endpoint) == state {
            return;
        }
        self.borrow()
            .hot_restart
            .broadcast_admin_state(&endpoint, state, Some(origin));
        self.apply_admin_state(endpoint, state);
    }
}
