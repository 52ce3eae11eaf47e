//! Stores the endpoint lists that the simulator has sent, by their numbers.

use super::error::MessageError;
use super::message::LIST_COUNT;
use crate::policy::EndpointEntry;
use std::sync::Arc;

/// The complete lists, and the list whose entries are still being received.
#[derive(Debug, Default)]
pub(super) struct EndpointLists {
    /// The complete lists, indexed by their numbers.
    complete: [Option<Arc<[EndpointEntry]>>; LIST_COUNT],
    partial: Option<PartialList>,
}

#[derive(Debug)]
struct PartialList {
    number: usize,
    /// The number of entries in the complete list.
    entry_count: usize,
    entries: Vec<EndpointEntry>,
}

impl EndpointLists {
    /// Starts a list of `entry_count` entries. Once complete, it replaces an earlier list of the same number.
    pub(super) fn start(&mut self, number: usize, entry_count: usize) {
        self.partial = Some(PartialList {
            number,
            entry_count,
            entries: Vec::new(),
        });
        self.store_if_complete();
    }

    /// Adds an entry to the list that was started last.
    pub(super) fn add(&mut self, entry: EndpointEntry) -> Result<(), MessageError> {
        let partial = self
            .partial
            .as_mut()
            .ok_or(MessageError::EntryOutsideList)?;
        partial.entries.push(entry);
        self.store_if_complete();
        Ok(())
    }

    /// Returns an error if the list that was started last is incomplete. Until it is complete, only entries may follow.
    pub(super) fn require_complete(&self) -> Result<(), MessageError> {
        match &self.partial {
            Some(partial) => Err(MessageError::IncompleteList {
                list: partial.number,
                received: partial.entries.len(),
                announced: partial.entry_count,
            }),
            None => Ok(()),
        }
    }

    /// Returns the list that was last completed under this number.
    pub(super) fn get(&self, number: usize) -> Result<Arc<[EndpointEntry]>, MessageError> {
        let list = self.complete.get(number).and_then(Option::as_ref);
        list.cloned().ok_or(MessageError::UnknownList(number))
    }

    fn store_if_complete(&mut self) {
        let completed = self
            .partial
            .take_if(|partial| partial.entries.len() >= partial.entry_count);
        if let Some(completed) = completed {
            self.complete[completed.number] = Some(Arc::from(completed.entries));
        }
    }
}
