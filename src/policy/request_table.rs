//! The table of pending requests. No decision is made here.

use super::action::Action;
use super::balancer::Balancer;
use super::event::Request;
use super::id::{AttemptNumber, RequestId};
use super::pending::{AttemptState, PendingRequest};
use super::time::Timestamp;

impl Balancer {
    /// Returns whether a request can be handled: its class and tenant exist, and no pending request has its id.
    pub(super) fn is_valid(&self, request: &Request) -> bool {
        let has_tenant = request
            .tenant
            .is_none_or(|tenant| tenant.0 < self.tenant_rates.len());
        let has_class = request.class.0 < self.classes.len();
        has_tenant && has_class && !self.requests.contains_key(&request.id)
    }

    /// Records that a part of a request's body was forwarded and not retained.
    pub(super) fn body_consumed(&mut self, request: &RequestId) {
        if let Some(pending) = self.requests.get_mut(request) {
            pending.is_body_consumed = true;
        }
    }

    /// Gives a request that was removed from the queue its final answer.
    pub(super) fn answer_unserved(
        &mut self,
        now: Timestamp,
        id: &RequestId,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut pending) = self.requests.remove(id) else {
            return;
        };
        if !pending.is_answered {
            self.reject_or_fail(now, &mut pending, actions);
        }
        self.retain_while_pending(pending);
    }

    /// Puts a request back into the table, unless it is answered and all its attempts have ended.
    pub(super) fn retain_while_pending(&mut self, pending: PendingRequest) {
        if !pending.is_answered || pending.has_attempts_in_flight() {
            self.requests.insert(pending.request.id.clone(), pending);
        } else {
            self.key_order.remove(&pending);
        }
    }

    /// Ends a request for its client, and cancels its attempts in flight except for the one that streams the answer.
    pub(super) fn finish_request(
        &mut self,
        id: &RequestId,
        streaming: Option<AttemptNumber>,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut pending) = self.requests.remove(id) else {
            return;
        };
        // An event for an attempt that does not exist is ignored.
        let attempt_exists = streaming.is_none_or(|number| number < pending.attempts.len());
        pending.is_answered |= attempt_exists;
        if pending.is_answered {
            // If it stayed queued, it would count towards the queue limit until its queue deadline.
            self.queued.remove(&pending);
            if self.settings.limits.cancel {
                cancel_attempts(&pending, streaming, actions);
            }
        }
        self.retain_while_pending(pending);
    }
}

fn cancel_attempts(
    pending: &PendingRequest,
    except: Option<AttemptNumber>,
    actions: &mut Vec<Action>,
) {
    for (number, attempt) in pending.attempts.iter().enumerate() {
        if attempt.state == AttemptState::InFlight && except != Some(number) {
            actions.push(Action::Cancel {
                request: pending.request.id.clone(),
                attempt: number,
            });
        }
    }
}
