//! The request queue: its length limit, its deadlines, the order of sends, and the requests that are shed.

use super::action::Action;
use super::balancer::Balancer;
use super::id::RequestId;
use super::pending::PendingRequest;
use super::queued_requests::NO_QUEUE_DEADLINE;
use super::time::Timestamp;
use std::ops::ControlFlow;
use std::time::Duration;

/// The queue limit, as a fraction of the requests that arrive within the longest queue time.
const QUEUE_LIMIT_FRACTION: f64 = 0.5;
/// The lowest queue limit, which applies if few requests arrive.
const MIN_QUEUE_LIMIT: f64 = 4.0;

impl Balancer {
    /// Sheds the requests that exceed the queue limit, the newest request of the lowest priority level first.
    pub(super) fn shed_past_limit(
        &mut self,
        now: Timestamp,
        max_queue_time: Duration,
        actions: &mut Vec<Action>,
    ) {
        let arrivals = self.arrival_rate.per_second(now) * max_queue_time.as_secs_f64();
        let limit = (arrivals * QUEUE_LIMIT_FRACTION).max(MIN_QUEUE_LIMIT) as usize;
        while self.queued.len() > limit {
            let Some(id) = self.queued.pop_lowest_priority() else {
                break;
            };
            self.answer_unserved(now, &id, actions);
        }
    }

    /// Gives a final answer to requests whose queue deadline has passed. Sends the requests that endpoints can take,
    /// the highest priority level first.
    pub(super) fn send_queued_requests(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if now >= self.queued.next_deadline {
            self.reject_expired_requests(now, actions);
        }
        for level in (0..self.queued.levels.len()).rev() {
            if self.send_queued_level(now, level, actions).is_break() {
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
        let is_unanswered = |id: &RequestId| requests.get(id).is_some_and(|p| !p.is_answered);
        for level in &mut self.queued.levels {
            level.retain(is_unanswered);
        }
        let queued = self.queued.levels.iter().flatten();
        let deadlines = queued
            .filter_map(|id| requests.get(id))
            .map(|pending| pending.queue_deadline);
        self.queued.next_deadline = deadlines.min().unwrap_or(NO_QUEUE_DEADLINE);
    }

    /// Sends the requests of one level in order. Stops with `Break` at a request that no endpoint takes and that has no
    /// earlier attempt. No endpoint takes the requests behind it or of lower levels either.
    fn send_queued_level(
        &mut self,
        now: Timestamp,
        level: usize,
        actions: &mut Vec<Action>,
    ) -> ControlFlow<()> {
        let mut position = 0;
        while let Some(id) = self.queued.levels[level].get(position).cloned() {
            // A request that waits for its turn in key order must not delay those behind it.
            let waits_for_key =
                |p: &PendingRequest| !p.is_answered && !self.key_order.allows(now, p);
            if self.requests.get(&id).is_some_and(waits_for_key) {
                position += 1;
                continue;
            }
            self.queued.levels[level].remove(position);
            let Some(mut pending) = self.requests.remove(&id) else {
                continue;
            };
            if !pending.is_answered && self.retry_scope(now, &pending).is_none() {
                // The window of a keyed request can end while it is queued.
                self.reject_or_fail(now, &mut pending, actions);
            }
            let stays_queued = !pending.is_answered && !self.try_send(now, &mut pending, actions);
            let is_retry = !pending.attempts.is_empty();
            self.retain_while_pending(pending);
            if stays_queued {
                self.queued.levels[level].insert(position, id);
                if !is_retry {
                    return ControlFlow::Break(());
                }
                position += 1; // fewer endpoints may take a retry than the requests behind it
            }
        }
        ControlFlow::Continue(())
    }
}
