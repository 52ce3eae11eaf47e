//! The other processes that are one sidecar with this one for a while: the one before, and the one after.

use super::message::ProcessMessage;
use std::collections::BTreeMap;
use tokio::sync::mpsc;

/// Messages that may wait to be written. The other side reads at once, or is gone.
const MAX_WAITING: usize = 256;

/// Whether a process came before this one or after it.
#[derive(Clone, Copy, PartialEq)]
pub enum Order {
    /// This one was given the listening socket by it.
    Before,
    /// It was given the listening socket by this one.
    After,
}

/// Tells other processes apart.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessNumber(u64);

/// The other processes.
#[derive(Default)]
pub struct OtherProcesses {
    next: u64,
    processes: BTreeMap<ProcessNumber, OtherProcess>,
}

struct OtherProcess {
    messages: mpsc::Sender<ProcessMessage>,
    order: Order,
    /// Connections, as far as it has told.
    held_connections: Option<usize>,
}

impl OtherProcesses {
    /// Another process has come; returns what is to be written to it.
    pub fn add(&mut self, order: Order) -> (ProcessNumber, mpsc::Receiver<ProcessMessage>) {
        let (sender, messages) = mpsc::channel(MAX_WAITING);
        let number = ProcessNumber(self.next);
        self.next += 1;
        let process = OtherProcess {
            messages: sender,
            order,
            held_connections: None,
        };
        self.processes.insert(number, process);
        (number, messages)
    }

    /// Another process has ended, and holds nothing any more.
    pub fn remove(&mut self, number: ProcessNumber) {
        self.processes.remove(&number);
    }

    /// Whether a process is still there.
    pub fn contains(&self, number: ProcessNumber) -> bool {
        self.processes.contains_key(&number)
    }

    /// Sends a message to the others that still listen, but for the one that it comes from.
    pub fn send(&self, message: &ProcessMessage, from: Option<ProcessNumber>) {
        for (_, process) in self
            .processes
            .iter()
            .filter(|(number, _)| Some(**number) != from)
        {
            let _ = process.messages.try_send(message.clone());
        }
    }

    /// Whether another process has the listening socket from this one.
    pub fn has_one_after(&self) -> bool {
        self.processes
            .values()
            .any(|process| process.order == Order::After)
    }

    /// Whether a process has the listening socket from this one.
    pub fn is_after(&self, number: ProcessNumber) -> bool {
        self.processes
            .get(&number)
            .is_some_and(|process| process.order == Order::After)
    }

    /// A process holds so many connections.
    pub fn set_held(&mut self, number: ProcessNumber, connections: usize) {
        if let Some(process) = self.processes.get_mut(&number) {
            process.held_connections = Some(connections);
        }
    }

    /// What each holds, as far as it has told.
    pub fn held_connections(&self) -> impl Iterator<Item = usize> {
        self.processes
            .values()
            .filter_map(|process| process.held_connections)
    }
}
