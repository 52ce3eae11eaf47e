//! Requests that wait to be sent, in their order. No decision is made here.

use super::id::RequestId;
use super::pending::PendingRequest;
use super::time::Timestamp;
use std::collections::VecDeque;

/// No held request expires.
pub(super) const NO_EXPIRY: Timestamp = Timestamp::from_nanos(u64::MAX);

/// Held requests by worth level, each level in order of arrival.
pub(super) struct QueuedRequests {
    pub(super) levels: Vec<VecDeque<RequestId>>,
    /// When the first held request expires, at the earliest.
    pub(super) next_expiry: Timestamp,
}

impl Default for QueuedRequests {
    fn default() -> Self {
        QueuedRequests {
            levels: Vec::new(),
            next_expiry: NO_EXPIRY,
        }
    }
}

impl QueuedRequests {
    pub(super) fn set_levels(&mut self, count: usize) {
        self.levels.resize(count, VecDeque::new());
    }

    pub(super) fn len(&self) -> usize {
        self.levels.iter().map(VecDeque::len).sum()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.levels.iter().all(VecDeque::is_empty)
    }

    pub(super) fn push(&mut self, pending: &PendingRequest) {
        self.next_expiry = self.next_expiry.min(pending.queue_deadline);
        self.levels[pending.level].push_back(pending.request.id.clone());
    }

    pub(super) fn remove(&mut self, pending: &PendingRequest) {
        self.levels[pending.level].retain(|queued| *queued != pending.request.id);
    }

    /// Empties the queue, the highest level first.
    pub(super) fn take_all(&mut self) -> Vec<RequestId> {
        self.levels
            .iter_mut()
            .rev()
            .flat_map(std::mem::take)
            .collect()
    }

    /// The newest request of the lowest level.
    pub(super) fn pop_lowest_priority(&mut self) -> Option<RequestId> {
        self.levels.iter_mut().find_map(VecDeque::pop_back)
    }
}
