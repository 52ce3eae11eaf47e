//! The send of an attempt, and the final answer to a request that is not served.

use super::action::Action;
use super::balancer::Balancer;
use super::pending::{Attempt, AttemptState, PendingRequest};
use super::time::Timestamp;
use std::time::Duration;

impl Balancer {
    /// Sends a request if its key order allows it and an endpoint takes it; returns whether it was sent.
    pub(super) fn try_send(
        &mut self,
        now: Timestamp,
        pending: &mut PendingRequest,
        actions: &mut Vec<Action>,
    ) -> bool {
        let scope = self
            .retry_scope(now, pending)
            .filter(|_| self.key_order.allows(now, pending));
        let Some(scope) = scope else { return false };
        let Some(index) = self.pick(now, pending, &scope) else {
            return false;
        };
        self.advance_slow_start(pending);
        self.in_flight.add(&mut self.endpoints, index);
        let gap = self.gap(now, self.endpoints[index].queue_length);
        let slow_start_slot = self.draw_slow_start_slot(now, index);
        let timeout = self.attempt_timeout(now, pending);
        let endpoint = &mut self.endpoints[index];
        endpoint.awaits_first_send = false;
        endpoint.last_send = now;
        endpoint.gap_ends_at = now + gap;
        endpoint.slow_start_slot = slow_start_slot;
        pending.attempts.push(Attempt {
            endpoint: index,
            sent_at: now,
            state: AttemptState::InFlight,
        });
        actions.push(Action::Send {
            request: pending.request.id.clone(),
            endpoint: endpoint.id.clone(),
            timeout,
        });
        true
    }

    /// Returns the timeout of an attempt; `None` if late answers have value. Otherwise the attempt times out when its
    /// answer loses its value. Some servers then drop the queued work, which no longer delays other requests.
    fn attempt_timeout(&self, now: Timestamp, pending: &PendingRequest) -> Option<Duration> {
        let class = &self.settings.classes[pending.request.class.0];
        (class.late_value == 0.0).then_some(pending.useful_until.since(now))
    }

    /// Returns the time after which a rejected client may retry; `None` if clients are not told one. A client that
    /// retried immediately would meet the same overload, and its answer would be late.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        let limits = &self.settings.limits;
        limits.retry_after.then_some(limits.max_retry_after)
    }

    /// Gives the final answer to a request that is not served.
    pub(super) fn reject_or_fail(
        &mut self,
        now: Timestamp,
        pending: &mut PendingRequest,
        actions: &mut Vec<Action>,
    ) {
        pending.is_answered = true;
        let request = pending.request.id.clone();
        let action = if self.is_retry_harmless(now, pending) {
            Action::Reject {
                request,
                retry_after: self.retry_after(),
            }
        } else {
            Action::Fail { request }
        };
        actions.push(action);
    }
}
