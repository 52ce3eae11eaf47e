//! Decodes the stream of lists that a watch receives.

use super::error::{DiscoveryError, StaleListError};
use super::list::EndpointList;
use super::list_scanner::{ListScanner, ScannedByte};
use bytes::{Buf, BytesMut};

/// The maximum size of a list, in bytes. It is several times the size of the list of the largest fleet.
pub(super) const MAX_LIST_BYTES: usize = 4 << 20;

/// Decodes a stream of endpoint lists in JSON, regardless of its division into lines and chunks.
///
/// Each byte is scanned once and each list is parsed once. The cost of a long list therefore does not depend on the
/// number of its chunks.
#[derive(Debug, Default)]
pub(super) struct ListDecoder {
    /// The received part of an incomplete list.
    incomplete: BytesMut,
    scanner: ListScanner,
    /// The number of lists that were parsed.
    #[cfg(test)]
    pub(super) parse_count: usize,
}

/// The content of a chunk with regard to the silence timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChunkContent {
    /// The chunk completed a list, or it is a heartbeat between lists.
    ListOrHeartbeat,
    /// The chunk is a part of a list that is still incomplete.
    PartOfList,
    /// A list is incomplete, and the chunk adds nothing to it but white space.
    NothingNew,
}

impl ListDecoder {
    /// Decodes a chunk and passes each list that it completes to `receive`, in order.
    ///
    /// # Errors
    /// Returns an error if the stream is malformed, if an incomplete list exceeds [`MAX_LIST_BYTES`], or if `receive`
    /// rejects a list. Earlier lists of the chunk have been passed on by then. After an error the decoder must not be
    /// used again.
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

    /// Parses the completed list and clears the buffer.
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
