//! The decoder of a watch's stream of lists.

use super::error::{DiscoveryError, StaleListError};
use super::list::EndpointList;
use super::list_scanner::{ListScanner, ScannedByte};
use bytes::{Buf, BytesMut};

/// The maximum size of a list in bytes, several times that of the largest fleet's list.
pub(super) const MAX_LIST_BYTES: usize = 4 << 20;

/// Decodes a stream of JSON lists, however they are split into lines and chunks. Each byte is scanned once and each list
/// is parsed once, so that a long list in many small chunks costs no more than one in a few.
#[derive(Debug, Default)]
pub(super) struct ListDecoder {
    /// The beginning of a list whose end has not been received.
    incomplete: BytesMut,
    scanner: ListScanner,
    /// How often a list was parsed.
    #[cfg(test)]
    pub(super) parse_count: usize,
}

/// What a chunk has added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChunkContent {
    /// A list was completed, or no list is incomplete and the chunk is a heartbeat.
    ListOrHeartbeat,
    /// A list is incomplete, and the chunk is a part of it.
    PartOfList,
    /// A list is incomplete, and the chunk added nothing to it.
    NothingNew,
}

impl ListDecoder {
    /// Decodes a chunk and passes each list that it completes to `receive`, in order.
    ///
    /// # Errors
    /// Returns an error if the stream is malformed, a list is too long, or `receive` rejects a list. Earlier lists of the
    /// chunk have been received nevertheless. The decoder must not be used any more then.
    pub(super) fn decode(
        &mut self,
        chunk: &[u8],
        mut receive: impl FnMut(EndpointList) -> Result<(), StaleListError>,
    ) -> Result<ChunkContent, DiscoveryError> {
        let mut has_completed_list = false;
        let mut has_content = false;
        let mut uncopied_from = 0;
        for (position, byte) in chunk.iter().enumerate() {
            match self.scanner.scan(*byte)? {
                ScannedByte::BetweenObjects => uncopied_from = position + 1,
                ScannedByte::Whitespace => {}
                ScannedByte::Content => has_content = true,
                ScannedByte::ObjectEnd => {
                    self.incomplete
                        .extend_from_slice(&chunk[uncopied_from..=position]);
                    uncopied_from = position + 1;
                    receive(self.parse_list()?)?;
                    has_completed_list = true;
                }
            }
        }
        self.incomplete.extend_from_slice(&chunk[uncopied_from..]);
        if self.incomplete.len() > MAX_LIST_BYTES {
            return Err(DiscoveryError::TooLong);
        }
        Ok(if has_completed_list || self.incomplete.is_empty() {
            ChunkContent::ListOrHeartbeat
        } else if has_content {
            ChunkContent::PartOfList
        } else {
            ChunkContent::NothingNew
        })
    }

    /// Parses the list that has been received completely.
    fn parse_list(&mut self) -> Result<EndpointList, DiscoveryError> {
        #[cfg(test)]
        {
            self.parse_count += 1;
        }
        let list = serde_json::from_slice(&self.incomplete);
        self.incomplete.advance(self.incomplete.len());
        Ok(list?)
    }
}
