//! The endpoint lists that a process holds, by their numbers.

use super::error::WireError;
use super::message::LIST_COUNT;
use crate::policy::EndpointEntry;
use std::sync::Arc;

/// Complete lists, and the one that is coming.
#[derive(Debug, Default)]
pub(super) struct EndpointLists {
    complete: [Option<Arc<[EndpointEntry]>>; LIST_COUNT],
    partial: Option<PartialList>,
}

#[derive(Debug)]
struct PartialList {
    number: usize,
    announced: usize,
    entries: Vec<EndpointEntry>,
}

impl EndpointLists {
    /// A list begins.
    pub(super) fn begin(&mut self, number: usize, announced: usize) {
        self.partial = Some(PartialList {
            number,
            announced,
            entries: Vec::new(),
        });
        self.complete_if_full();
    }

    /// One more entry of the list that has begun.
    pub(super) fn add(&mut self, entry: EndpointEntry) -> Result<(), WireError> {
        let partial = self.partial.as_mut().ok_or(WireError::EntryOutsideList)?;
        partial.entries.push(entry);
        self.complete_if_full();
        Ok(())
    }

    /// No other message may come before a list is complete.
    pub(super) fn require_complete(&self) -> Result<(), WireError> {
        match &self.partial {
            Some(PartialList {
                number,
                announced,
                entries,
            }) => Err(WireError::IncompleteList {
                list: *number,
                received: entries.len(),
                announced: *announced,
            }),
            None => Ok(()),
        }
    }

    /// The list with this number as of now.
    pub(super) fn get(&self, number: usize) -> Result<Arc<[EndpointEntry]>, WireError> {
        let list = self.complete.get(number).and_then(Option::as_ref);
        list.cloned().ok_or(WireError::UnknownList(number))
    }

    fn complete_if_full(&mut self) {
        let partial = self
            .partial
            .take_if(|partial| partial.entries.len() >= partial.announced);
        if let Some(PartialList {
            number, entries, ..
        }) = partial
        {
            self.complete[number] = Some(Arc::from(entries));
        }
    }
}
