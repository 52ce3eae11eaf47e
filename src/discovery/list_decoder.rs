//! The decoder of a watch's stream of lists.

use super::error::{DiscoveryError, StaleListError};
use super::list::EndpointList;
use bytes::{Buf, BytesMut};

/// The maximum size of a list in bytes, about fifty times that of the largest fleet's list.
pub(super) const MAX_LIST_BYTES: usize = 4 << 20;

/// Decodes a stream of JSON lists, however they are split into lines and chunks.
#[derive(Debug, Default)]
pub(super) struct ListDecoder {
    /// The beginning of a list whose end has not been received.
    incomplete: BytesMut,
}

/// What a chunk has added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// A list was completed, or no list is incomplete and the chunk is a heartbeat.
    Alive,
    /// A list is incomplete and the chunk did not complete any.
    Incomplete,
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
        receive: impl FnMut(EndpointList) -> Result<(), StaleListError>,
    ) -> Result<Progress, DiscoveryError> {
        self.incomplete.extend_from_slice(chunk);
        // Only a closing brace can complete a list; without one, parsing the incomplete list again would be in vain.
        let decoded_bytes = if chunk.contains(&b'}') {
            self.decode_lists(receive)?
        } else {
            0
        };
        self.incomplete.advance(decoded_bytes);
        if self.incomplete.iter().all(u8::is_ascii_whitespace) {
            self.incomplete.clear();
        }
        if self.incomplete.len() > MAX_LIST_BYTES {
            return Err(DiscoveryError::TooLong);
        }
        if decoded_bytes > 0 || self.incomplete.is_empty() {
            Ok(Progress::Alive)
        } else {
            Ok(Progress::Incomplete)
        }
    }

    /// Decodes the complete lists and returns their length in bytes.
    fn decode_lists(
        &self,
        mut receive: impl FnMut(EndpointList) -> Result<(), StaleListError>,
    ) -> Result<usize, DiscoveryError> {
        let mut lists = serde_json::Deserializer::from_slice(&self.incomplete).into_iter();
        let mut decoded_bytes = 0;
        while let Some(list) = lists.next() {
            match list {
                Err(error) if error.is_eof() => break,
                list => receive(list?)?,
            }
            decoded_bytes = lists.byte_offset();
        }
        Ok(decoded_bytes)
    }
}
