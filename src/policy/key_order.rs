//! The order of requests with the same key, where their class goes by arrival: one at a time, as they came.

use super::id::{Key, RequestId};
use super::pending::PendingRequest;
use super::time::Timestamp;
use std::collections::{HashMap, VecDeque};

/// Requests by key, and the keys that rest.
#[derive(Default)]
pub(super) struct KeyOrder {
    queues: HashMap<Key, KeyQueue>,
    /// Keys by the end of their rest, the earliest first.
    cooldowns: VecDeque<(Timestamp, Key)>,
}

/// Requests with one key in order of arrival; the first has the turn.
#[derive(Default)]
struct KeyQueue {
    requests: VecDeque<RequestId>,
    /// No other request's turn begins before this.
    cooldown_until: Timestamp,
}

impl KeyOrder {
    pub(super) fn enqueue(&mut self, key: &Key, request: &RequestId) {
        self.queues
            .entry(key.clone())
            .or_default()
            .requests
            .push_back(request.clone());
    }

    /// Whether a request may be sent now, also over several classes. One that was sent keeps the turn until
    /// its attempts have ended; after one that may run on the key rests.
    pub(super) fn is_next_for_key(&self, now: Timestamp, pending: &PendingRequest) -> bool {
        let queue = pending
            .request
            .key
            .as_ref()
            .and_then(|key| self.queues.get(key));
        queue.is_none_or(|queue| {
            let is_first = queue.requests.front() == Some(&pending.request.id);
            is_first && (now >= queue.cooldown_until || !pending.attempts.is_empty())
        })
    }

    pub(super) fn remove(&mut self, pending: &PendingRequest) {
        let Some(key) = pending.request.key.as_ref() else {
            return;
        };
        let Some(queue) = self.queues.get_mut(key) else {
            return;
        };
        queue.requests.retain(|id| *id != pending.request.id);
        if queue.requests.is_empty() && queue.cooldown_until == Timestamp::default() {
            self.queues.remove(key);
        }
    }

    /// Has a key rest, as an attempt of its first request may run on.
    pub(super) fn start_cooldown(&mut self, key: &Key, until: Timestamp) {
        self.queues.entry(key.clone()).or_default().cooldown_until = until;
        self.cooldowns.push_back((until, key.clone()));
    }

    /// Forgets keys that have rested and that nobody waits for.
    pub(super) fn forget_cooled_down(&mut self, now: Timestamp) {
        while let Some((cooled_down_at, key)) =
            self.cooldowns.pop_front_if(|(until, _)| *until <= now)
        {
            let is_over = |queue: &KeyQueue| {
                queue.requests.is_empty() && queue.cooldown_until <= cooled_down_at
            };
            if self.queues.get(&key).is_some_and(is_over) {
                self.queues.remove(&key);
            }
        }
    }

    /// When the first key has rested.
    pub(super) fn first_cooldown_end(&self) -> Option<Timestamp> {
        self.cooldowns.front().map(|(until, _)| *until)
    }
}
