//! The requests that must not run twice and that an attempt has been started for.
//!
//! A request is forgotten once it is answered, or once its client has disconnected and its attempts are cancelled. A client
//! may send it again under the same id afterwards, also to the other process of a hot restart. The endpoint may have run
//! it by then.

use crate::policy::{RequestId, Timestamp};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The time for which a request is remembered after its last attempt began. It exceeds the time for which clients wait.
const LIFETIME: Duration = Duration::from_secs(30);
/// The maximum number of remembered requests. The oldest ones are forgotten first.
const MAX_REQUESTS: usize = 8_192;

/// The ids of requests of classes that are unsafe to repeat, for [`LIFETIME`] after an attempt began.
#[derive(Debug, Default)]
pub struct SentRequests {
    /// The time at which the last attempt of each request began.
    sent_at: HashMap<RequestId, Timestamp>,
    /// All attempts that began, oldest first. Those that are not the last of their request have no effect.
    order: VecDeque<(Timestamp, RequestId)>,
}

impl SentRequests {
    /// Remembers a request of which an attempt begins.
    pub fn insert(&mut self, now: Timestamp, request: &RequestId) {
        self.remove_expired(now);
        self.sent_at.insert(request.clone(), now);
        self.order.push_back((now, request.clone()));
    }

    /// Forgets a request that has not run and may be sent again.
    pub fn remove(&mut self, request: &RequestId) {
        self.sent_at.remove(request);
    }

    /// Returns whether a request must not be sent again.
    pub fn contains(&mut self, now: Timestamp, request: &RequestId) -> bool {
        self.remove_expired(now);
        self.sent_at.contains_key(request)
    }

    /// Returns the remembered requests, latest first.
    pub fn iter(&self) -> impl Iterator<Item = &RequestId> {
        let is_last =
            |(at, request): &&(Timestamp, RequestId)| self.sent_at.get(request) == Some(at);
        self.order
            .iter()
            .rev()
            .filter(is_last)
            .map(|(_, request)| request)
    }

    fn remove_expired(&mut self, now: Timestamp) {
        while let Some((at, request)) = self.order.front()
            && (now.since(*at) >= LIFETIME || self.order.len() >= MAX_REQUESTS)
        {
            if self.sent_at.get(request) == Some(at) {
                self.sent_at.remove(request);
            }
            self.order.pop_front();
        }
    }
}

#[cfg(test)]
#[path = "sent_requests_tests.rs"]
mod tests;
