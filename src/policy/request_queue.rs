//! Requests that wait to be sent: how long, in which order, and which are refused past the queue limit.

use super::action::Action;
use super::balancer::Balancer;
use super::id::RequestId;
use super::pending::PendingRequest;
use super::queued_requests::NO_EXPIRY;
use super::time::Timestamp;
use std::ops::ControlFlow;
use std::time::Duration;

/// The part of what arrives within the hold time that may wait.
const QUEUE_FRACTION: f64 = 0.5;
/// Requests that may wait, however few arrive.
const MIN_QUEUE_LIMIT: f64 = 4.0;
impl Balancer {
    /// Refuses the least worthy past the queue limit at once, the newest first.
    pub(super) fn shed_past_limit(
        &mut self,
        now: Timestamp,
        max_queue_time: Duration,
        actions: &mut Vec<Action>,
    ) {
        let arrivals = self.arrival_rate.per_second(now) * max_queue_time.as_secs_f64();
        let limit = (arrivals * QUEUE_FRACTION).max(MIN_QUEUE_LIMIT) as usize;
        while self.queued.len() > limit {
            let Some(id) = self.queued.pop_lowest_priority() else {
                break;
            };
            self.answer_unserved(now, &id, actions);
        }
    }

    /// Refuses what has been held too long, and sends what can be sent, the worthiest first.
    pub(super) fn send_queued_requests(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if now >= self.queued.next_expiry {
            self.reject_expired_requests(now, actions);
        }
        for level in (0..self.queued.levels.len()).rev() {
            if self.send_queued(now, level, actions).is_break() {
                return;
            }
        }
    }

    fn reject_expired_requests(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let requests = &self.requests;
        let is_expired =
            |id: &&RequestId| requests.get(*id).is_some_and(|p| p.queue_deadline <= now);
        let queued = self.queued.levels.iter().flatten();
        let expired: Vec<RequestId> = queued.filter(is_expired).cloned().collect();
        for id in &expired {
            self.answer_unserved(now, id, actions);
        }
        let requests = &self.requests;
        let is_waiting = |id: &RequestId| requests.get(id).is_some_and(|p| !p.is_answered);
        self.queued
            .levels
            .iter_mut()
            .for_each(|level| level.retain(is_waiting));
        let queued = self.queued.levels.iter().flatten();
        let expiries = queued
            .filter_map(|id| requests.get(id))
            .map(|p| p.queue_deadline);
        self.queued.next_expiry = expiries.min().unwrap_or(NO_EXPIRY);
    }

    /// Sends a level's requests in order, until one that was not tried yet has nowhere to go: then those
    /// behind it and below it have not either.
    fn send_queued(
        &mut self,
        now: Timestamp,
        level: usize,
        actions: &mut Vec<Action>,
    ) -> ControlFlow<()> {
        let mut position = 0;
        while let Some(id) = self.queued.levels[level].get(position).cloned() {
            // One that waits for its turn must not hold up those behind it.
            let waits_for_key =
                |p: &PendingRequest| !p.is_answered && !self.key_order.is_next_for_key(now, p);
            if self.requests.get(&id).is_some_and(waits_for_key) {
                position += 1;
                continue;
            }
            self.queued.levels[level].remove(position);
            let Some(mut pending) = self.requests.remove(&id) else {
                continue;
            };
            if !pending.is_answered && self.retry_scope(now, &pending).is_none() {
                // A keyed request can outlive its window while held.
                self.reject_or_fail(now, &mut pending, actions);
            }
            let stays = !pending.is_answered && !self.try_send(now, &mut pending, actions);
            let is_retry = !pending.attempts.is_empty();
            self.retain_while_pending(pending);
            if stays {
                self.queued.levels[level].insert(position, id);
                if !is_retry {
                    return ControlFlow::Break(());
                }
                position += 1; // a retry has fewer places to go than those behind it
            }
        }
        ControlFlow::Continue(())
    }
}
