//! The queued requests, in the order in which they are sent. No decision is made here.

use super::id::RequestId;
use super::pending::PendingRequest;
use super::time::Timestamp;
use std::collections::VecDeque;

/// The earliest queue deadline if no request is queued.
pub(super) const NO_QUEUE_DEADLINE: Timestamp = Timestamp::from_nanos(u64::MAX);

/// Queued requests by priority level, each level in order of arrival.
#[derive(Debug)]
pub(super) struct QueuedRequests {
    pub(super) levels: Vec<VecDeque<RequestId>>,
    /// The earliest queue deadline of the queued requests, or an earlier time.
    pub(super) next_deadline: Timestamp,
}

impl Default for QueuedRequests {
    fn default() -> Self {
        QueuedRequests {
            levels: Vec::new(),
            next_deadline: NO_QUEUE_DEADLINE,
        }
    }
}

impl QueuedRequests {
    /// Sets the number of priority levels.
    pub(super) fn set_levels(&mut self, count: usize) {
        self.levels.resize(count, VecDeque::new());
    }

    /// Returns the number of queued requests.
    pub(super) fn len(&self) -> usize {
        self.levels.iter().map(VecDeque::len).sum()
    }

    /// Returns whether no request is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.levels.iter().all(VecDeque::is_empty)
    }

    /// Queues a request behind those of its level.
    pub(super) fn push(&mut self, pending: &PendingRequest) {
        self.next_deadline = self.next_deadline.min(pending.queue_deadline);
        self.levels[pending.level].push_back(pending.request.id.clone());
    }

    /// Removes a request, if it is queued.
    pub(super) fn remove(&mut self, pending: &PendingRequest) {
        self.levels[pending.level].retain(|queued| *queued != pending.request.id);
    }

    /// Removes and returns all requests, the highest level first.
    pub(super) fn take_all(&mut self) -> Vec<RequestId> {
        self.levels
            .iter_mut()
            .rev()
            .flat_map(std::mem::take)
            .collect()
    }

    /// Removes and returns the newest request of the lowest level.
    pub(super) fn pop_lowest_priority(&mut self) -> Option<RequestId> {
        self.levels.iter_mut().find_map(VecDeque::pop_back)
    }
}
