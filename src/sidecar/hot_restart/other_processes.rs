//! The registry of the other processes that are one sidecar with this one for a while.

use super::message::ProcessMessage;
use std::collections::BTreeMap;
use tokio::sync::mpsc;

/// Messages that may wait to be written to one process. More are dropped: a process that runs reads them at once.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Another process's side of the hot restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessRole {
    /// It handed the listening socket to this process.
    Old,
    /// It received the listening socket from this process.
    New,
}

/// Identifies another process within this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OtherProcessId(u64);

/// The other processes that run.
#[derive(Debug, Default)]
pub struct OtherProcesses {
    next_id: u64,
    processes: BTreeMap<OtherProcessId, OtherProcess>,
}

#[derive(Debug)]
struct OtherProcess {
    messages: mpsc::Sender<ProcessMessage>,
    role: ProcessRole,
    /// The number that it reported last, if any.
    open_connections: Option<usize>,
}

impl OtherProcesses {
    /// Adds a process; returns its id and the queue of messages to be written to it.
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

    /// Removes a process that has ended, and its open connections with it.
    pub fn remove(&mut self, id: OtherProcessId) {
        self.processes.remove(&id);
    }

    /// Returns whether a process still runs.
    #[must_use]
    pub fn contains(&self, id: OtherProcessId) -> bool {
        self.processes.contains_key(&id)
    }

    /// Sends a message to all processes but the one that it came from.
    pub fn send(&self, message: &ProcessMessage, origin: Option<OtherProcessId>) {
        let receivers = self.processes.iter().filter(|(id, _)| Some(**id) != origin);
        for (_, process) in receivers {
            let _ = process.messages.try_send(message.clone());
        }
    }

    /// Returns whether any process received the listening socket from this one.
    #[must_use]
    pub fn has_new_process(&self) -> bool {
        self.processes
            .values()
            .any(|process| process.role == ProcessRole::New)
    }

    /// Returns whether this process received the listening socket from this one.
    #[must_use]
    pub fn is_new_process(&self, id: OtherProcessId) -> bool {
        self.processes
            .get(&id)
            .is_some_and(|process| process.role == ProcessRole::New)
    }

    /// Sets how many connections a process has reported as open.
    pub fn set_open_connections(&mut self, id: OtherProcessId, connections: usize) {
        if let Some(process) = self.processes.get_mut(&id) {
            process.open_connections = Some(connections);
        }
    }

    /// Returns the number of open connections of each process that has reported one.
    pub fn open_connections(&self) -> impl Iterator<Item = usize> {
        self.processes
            .values()
            .filter_map(|process| process.open_connections)
    }
}
