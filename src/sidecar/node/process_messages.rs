//! Messages between the node and the other processes of its sidecar, and the handling of a process's end.

use super::state::{Node, NodeHandle};
use crate::policy::EndpointId;
use crate::sidecar::admin_state::AdminState;
use crate::sidecar::hot_restart::{OtherProcessId, ProcessMessage, ProcessRole};
use std::collections::BTreeSet;
use tokio::sync::mpsc;

/// Tells whether this process accepts callers after a new process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptStatus {
    /// This process accepts callers again.
    Resumed,
    /// This process was accepting callers already. The new process had not taken over, or had announced its shutdown.
    AlreadyAccepting,
    /// This process is shutting down itself.
    ShuttingDown,
}

impl Node {
    /// Counts what the sidecar's other processes have open against the budgets that all processes share.
    fn count_other_processes(&mut self) {
        let processes = self.hot_restart.processes();
        self.connections
            .set_other_process_connections(processes.open_connections());
        let others = processes.open_connections().count();
        self.memory.set_processes(1 + others);
    }
}

impl NodeHandle {
    /// Adds another process. Returns its id and the queue of messages to be written to it.
    pub fn add_process(
        &self,
        role: ProcessRole,
    ) -> (OtherProcessId, mpsc::Receiver<ProcessMessage>) {
        self.borrow().hot_restart.processes_mut().add(role)
    }

    /// Returns whether another process still runs.
    pub fn has_process(&self, process: OtherProcessId) -> bool {
        self.borrow().hot_restart.processes().contains(process)
    }

    /// Announces to the other processes that this one accepts callers from now on.
    pub fn announce_serving(&self) {
        self.borrow()
            .hot_restart
            .broadcast(&ProcessMessage::Serving);
    }

    /// Announces to the other processes that this one shuts down.
    pub fn announce_shutdown(&self) {
        self.borrow()
            .hot_restart
            .broadcast(&ProcessMessage::ShuttingDown);
    }

    /// Sends the disabled endpoints to the other processes. A new process has read the stored file, but perhaps before
    /// the last change.
    pub fn send_disabled_endpoints(&self) {
        let node = self.borrow();
        for endpoint in node.disabled_endpoints() {
            let hot_restart = &node.hot_restart;
            hot_restart.broadcast_admin_state(endpoint, AdminState::Disabled, None);
        }
    }

    /// Sends the requests that must not run twice to the other processes. Their clients may send them there next.
    pub fn send_sent_requests(&self) {
        let node = self.borrow();
        node.hot_restart
            .broadcast_sent_requests(node.sent_requests.iter());
    }

    /// Removes a process that has ended. Its open connections no longer count. Applies the stored disabled endpoints,
    /// because the process may have stored a last change without sending it.
    pub fn other_process_ended(&self, process: OtherProcessId) {
        let mut guard = self.borrow();
        let node = &mut *guard;
        node.hot_restart.processes_mut().remove(process);
        node.count_other_processes();
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
            if state.is_disabled() || !self.borrow().hot_restart.is_store_stale() {
                self.apply_admin_state(&endpoint.as_str().into(), state);
            }
        }
    }

    /// Accepts callers again after a new process has ended, unless this process is shutting down.
    pub fn new_process_ended(&self) -> AcceptStatus {
        let mut node = self.borrow();
        node.connections.keep_idle_connections();
        let has_resumed = node.connections.resume_accepting();
        if node.connections.callers().is_shutting_down() {
            AcceptStatus::ShuttingDown
        } else if has_resumed {
            AcceptStatus::Resumed
        } else {
            AcceptStatus::AlreadyAccepting
        }
    }

    /// Handles a message from another process.
    pub fn receive(&self, origin: OtherProcessId, message: ProcessMessage) {
        match message {
            ProcessMessage::AdminState { endpoint, disabled } => {
                let state = AdminState::from_disabled(disabled);
                self.receive_admin_state(origin, &endpoint.as_str().into(), state);
            }
            ProcessMessage::OpenConnections(connections) => {
                let mut node = self.borrow();
                node.hot_restart
                    .processes_mut()
                    .set_open_connections(origin, connections);
                node.count_other_processes();
            }
            ProcessMessage::SentRequests(ids) => {
                let mut node = self.borrow();
                let now = node.clock.now();
                for id in &ids {
                    node.sent_requests.insert(now, &id.as_str().into());
                }
            }
            ProcessMessage::ServingEndpoints(message) => self.receive_serving_endpoints(message),
            ProcessMessage::Serving => {
                self.borrow().connections.suspend_accepting();
                log!("hot restart: the new process accepts callers");
            }
            ProcessMessage::ShuttingDown => self.receive_shutting_down(origin),
        }
    }

    /// Accepts callers again if the new process shuts down. A shutdown of the old process changes nothing.
    fn receive_shutting_down(&self, origin: OtherProcessId) {
        let mut node = self.borrow();
        if node.hot_restart.processes().is_new_process(origin)
            && node.connections.resume_accepting()
        {
            log!("hot restart: the new process shuts down; accepting callers again");
        }
    }

    fn receive_admin_state(
        &self,
        origin: OtherProcessId,
        endpoint: &EndpointId,
        state: AdminState,
    ) {
        if self.borrow().admin_state(endpoint) == state {
            return;
        }
        self.borrow()
            .hot_restart
            .broadcast_admin_state(endpoint, state, Some(origin));
        self.apply_admin_state(endpoint, state);
    }
}
