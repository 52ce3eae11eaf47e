//! The registry of the sidecar's other processes during a hot restart.

use super::message::ProcessMessage;
use std::collections::BTreeMap;
use tokio::sync::mpsc;

/// The maximum number of messages that wait to be written to one process. Further ones are dropped. A process that runs
/// normally reads its messages at once.
const MAX_QUEUED_MESSAGES: usize = 256;

/// The role of another process in the hot restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessRole {
    /// The other process handed its listening socket to this one.
    Old,
    /// The other process received the listening socket from this one.
    New,
}

/// Identifies another process. The id is valid only within this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OtherProcessId(u64);

/// The sidecar's other running processes.
#[derive(Debug, Default)]
pub struct OtherProcesses {
    next_id: u64,
    processes: BTreeMap<OtherProcessId, OtherProcess>,
}

#[derive(Debug)]
struct OtherProcess {
    /// The queue of messages to be written to the process.
    messages: mpsc::Sender<ProcessMessage>,
    role: ProcessRole,
    /// The number of open connections that the process reported last, if it has reported one.
    open_connections: Option<usize>,
}

impl OtherProcesses {
    /// Adds a process. Returns its id and the queue of messages to be written to it.
    pub fn add(&mut self, role: ProcessRole) -> (OtherProcessId, mpsc::Receiver<ProcessMessage>) {
        let (sender, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let id = OtherProcessId(self.next_id);
        self.next_id += 1;
        let process = OtherProcess {
            messages: sender,
            role,
            open_connections: None,
        };
        self.processes.insert(id, process);
        (id, messages)
    }

    /// Removes a process that has ended. Its open connections no longer count.
    pub fn remove(&mut self, id: OtherProcessId) {
        self.processes.remove(&id);
    }

    /// Returns whether no other process runs.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    /// Returns whether a process still runs.
    #[must_use]
    pub fn contains(&self, id: OtherProcessId) -> bool {
        self.processes.contains_key(&id)
    }

    /// Queues a message for all processes except `origin`, the process from which it was received.
    pub fn send(&self, message: &ProcessMessage, origin: Option<OtherProcessId>) {
        let receivers = self.processes.iter().filter(|(id, _)| Some(**id) != origin);
        for (_, process) in receivers {
            let _ = process.messages.try_send(message.clone());
        }
    }

    /// Returns whether a process that received the listening socket from this one is running.
    #[must_use]
    pub fn has_new_process(&self) -> bool {
        self.processes
            .values()
            .any(|process| process.role == ProcessRole::New)
    }

    /// Returns whether the process with this id is running and received the listening socket from this one.
    #[must_use]
    pub fn is_new_process(&self, id: OtherProcessId) -> bool {
        self.processes
            .get(&id)
            .is_some_and(|process| process.role == ProcessRole::New)
    }

    /// Sets the number of open connections that a process has reported.
    pub fn set_open_connections(&mut self, id: OtherProcessId, connections: usize) {
        if let Some(process) = self.processes.get_mut(&id) {
            process.open_connections = Some(connections);
        }
    }

    /// Returns the number of open connections of each process that has reported it.
    pub fn open_connections(&self) -> impl Iterator<Item = usize> {
        self.processes
            .values()
            .filter_map(|process| process.open_connections)
    }
}
