//! Key order: requests with the same key are sent one at a time, in order of arrival.

use super::id::{Key, RequestId};
use super::pending::PendingRequest;
use super::time::Timestamp;
use std::collections::{HashMap, VecDeque};

/// Requests by key, and the cooldowns of keys.
#[derive(Debug, Default)]
pub(super) struct KeyOrder {
    queues: HashMap<Key, KeyQueue>,
    /// Cooldowns in order of their ends.
    cooldowns: VecDeque<Cooldown>,
}

#[derive(Debug)]
struct Cooldown {
    ends_at: Timestamp,
    key: Key,
}

/// Requests with the same key in order of arrival. Only the first one may be sent.
#[derive(Debug, Default)]
struct KeyQueue {
    requests: VecDeque<RequestId>,
    /// The end of the cooldown. Until then, a request is sent only if it is a retry.
    cooldown_until: Timestamp,
}

impl KeyOrder {
    /// Adds a request behind the earlier ones with its key.
    pub(super) fn enqueue(&mut self, key: &Key, request: &RequestId) {
        self.queues
            .entry(key.clone())
            .or_default()
            .requests
            .push_back(request.clone());
    }

    /// Returns whether key order allows a request to be sent now. Requests with the same key share one order across
    /// classes. A request that was sent remains the first until its attempts have ended, and its retries need not wait
    /// for the cooldown.
    pub(super) fn allows(&self, now: Timestamp, pending: &PendingRequest) -> bool {
        let key = pending.request.key.as_ref();
        let queue = key.and_then(|key| self.queues.get(key));
        queue.is_none_or(|queue| {
            let is_first = queue.requests.front() == Some(&pending.request.id);
            is_first && (now >= queue.cooldown_until || !pending.attempts.is_empty())
        })
    }

    /// Removes a request that is no longer pending.
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

    /// Starts the cooldown of a key whose first request may still run.
    pub(super) fn start_cooldown(&mut self, key: &Key, ends_at: Timestamp) {
        self.queues.entry(key.clone()).or_default().cooldown_until = ends_at;
        self.cooldowns.push_back(Cooldown {
            ends_at,
            key: key.clone(),
        });
    }

    /// Removes ended cooldowns, and their keys if they have no requests.
    pub(super) fn remove_expired_cooldowns(&mut self, now: Timestamp) {
        while let Some(ended) = self
            .cooldowns
            .pop_front_if(|cooldown| cooldown.ends_at <= now)
        {
            let is_unused = |queue: &KeyQueue| {
                queue.requests.is_empty() && queue.cooldown_until <= ended.ends_at
            };
            if self.queues.get(&ended.key).is_some_and(is_unused) {
                self.queues.remove(&ended.key);
            }
        }
    }

    /// Returns when the next cooldown ends.
    pub(super) fn first_cooldown_end(&self) -> Option<Timestamp> {
        self.cooldowns.front().map(|cooldown| cooldown.ends_at)
    }
}
