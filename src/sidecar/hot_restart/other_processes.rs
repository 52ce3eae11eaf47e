//! The other processes that are one sidecar with this one for a while: the one before, and the one after.

use super::message::ProcessMessage;
use std::collections::BTreeMap;
use tokio::sync::mpsc;

/// Messages that may wait to be written. The other side reads at once, or is gone.
const MAX_WAITING: usize = 256;

/// Whether a process came before this one or after it.
#[derive(Clone, Copy, PartialEq)]
pub enum ProcessRole {
    /// This one was given the listening socket by it.
    Old,
    /// It was given the listening socket by this one.
    New,
}

/// Tells other processes apart.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OtherProcessId(u64);

/// The other processes.
#[derive(Default)]
pub struct OtherProcesses {
    next: u64,
    processes: BTreeMap<OtherProcessId, OtherProcess>,
}

struct OtherProcess {
    messages: mpsc::Sender<ProcessMessage>,
    role: ProcessRole,
    /// Connections, as far as it has told.
    connections_in_use: Option<usize>,
}

impl OtherProcesses {
    /// Another process has come; returns what is to be written to it.
    pub fn add(&mut self, role: ProcessRole) -> (OtherProcessId, mpsc::Receiver<ProcessMessage>) {
        let (sender, messages) = mpsc::channel(MAX_WAITING);
        let number = OtherProcessId(self.next);
        self.next += 1;
        let process = OtherProcess {
            messages: sender,
            role,
            connections_in_use: None,
        };
        self.processes.insert(number, process);
        (number, messages)
    }

    /// Another process has ended, and holds nothing any more.
    pub fn remove(&mut self, number: OtherProcessId) {
        self.processes.remove(&number);
    }

    /// Whether a process is still there.
    pub fn contains(&self, number: OtherProcessId) -> bool {
        self.processes.contains_key(&number)
    }

    /// Sends a message to the others that still listen, but for the one that it comes from.
    pub fn send(&self, message: &ProcessMessage, from: Option<OtherProcessId>) {
        for (_, process) in self
            .processes
            .iter()
            .filter(|(number, _)| Some(**number) != from)
        {
            let _ = process.messages.try_send(message.clone());
        }
    }

    /// Whether another process has the listening socket from this one.
    pub fn has_new_process(&self) -> bool {
        self.processes
            .values()
            .any(|process| process.role == ProcessRole::New)
    }

    /// Whether a process has the listening socket from this one.
    pub fn is_new_process(&self, number: OtherProcessId) -> bool {
        self.processes
            .get(&number)
            .is_some_and(|process| process.role == ProcessRole::New)
    }

    /// A process holds so many connections.
    pub fn set_connections_in_use(&mut self, number: OtherProcessId, connections: usize) {
        if let Some(process) = self.processes.get_mut(&number) {
            process.connections_in_use = Some(connections);
        }
    }

    /// What each holds, as far as it has told.
    pub fn connections_in_use(&self) -> impl Iterator<Item = usize> {
        self.processes
            .values()
            .filter_map(|process| process.connections_in_use)
    }
}
