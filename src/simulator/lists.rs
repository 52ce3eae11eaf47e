//! The endpoint lists that a process holds, by their numbers.

use super::error::WireError;
use super::message::LIST_COUNT;
use crate::policy::EndpointEntry;
use std::sync::Arc;

/// Complete lists, and the one that is coming.
#[derive(Debug, Default)]
pub(super) struct Lists {
    complete: [Option<Arc<[EndpointEntry]>>; LIST_COUNT],
    coming: Option<ComingList>,
}

#[derive(Debug)]
struct ComingList {
    number: usize,
    announced: usize,
    entries: Vec<EndpointEntry>,
}

impl Lists {
    /// A list begins.
    pub(super) fn begin(&mut self, number: usize, announced: usize) {
        self.coming = Some(ComingList {
            number,
            announced,
            entries: Vec::new(),
        });
        self.close_if_complete();
    }

    /// One more entry of the list that has begun.
    pub(super) fn add(&mut self, entry: EndpointEntry) -> Result<(), WireError> {
        let coming = self.coming.as_mut().ok_or(WireError::NoOpenList)?;
        coming.entries.push(entry);
        self.close_if_complete();
        Ok(())
    }

    /// No other message may come before a list is complete.
    pub(super) fn must_be_complete(&self) -> Result<(), WireError> {
        match &self.coming {
            Some(ComingList {
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

    fn close_if_complete(&mut self) {
        let coming = self
            .coming
            .take_if(|coming| coming.entries.len() >= coming.announced);
        if let Some(ComingList {
            number, entries, ..
        }) = coming
        {
            self.complete[number] = Some(Arc::from(entries));
        }
    }
}
