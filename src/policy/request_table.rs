//! The table of open requests. No decision is made here.

use super::action::Action;
use super::balancer::Balancer;
use super::event::Request;
use super::id::{AttemptNumber, RequestId};
use super::pending::{Attempt, AttemptState, PendingRequest};
use super::time::Timestamp;

impl Balancer {
    /// Whether a request can be answered: its class and tenant are in the tables, and no open request has its
    /// id.
    pub(super) fn is_valid(&self, request: &Request) -> bool {
        let has_tenant = request.tenant.is_none_or(|t| t.0 < self.tenant_rates.len());
        let has_class = request.class.0 < self.classes.len();
        has_tenant && has_class && !self.requests.contains_key(&request.id)
    }

    /// Part of a request's body was sent on and is kept nowhere.
    pub(super) fn body_consumed(&mut self, request: &RequestId) {
        if let Some(pending) = self.requests.get_mut(request) {
            pending.body_is_consumed = true;
        }
    }
    /// Answers a request that is held for nothing.
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

    /// Keeps a request: once it is answered, only while ends of its attempts are to come.
    pub(super) fn retain_while_pending(&mut self, pending: PendingRequest) {
        if !pending.is_answered || pending.has_attempts_in_flight() {
            self.requests.insert(pending.request.id.clone(), pending);
        } else {
            self.key_order.remove(&pending);
        }
    }

    /// A request is over for its client; cancels its attempts in flight but for the one that streams the
    /// answer.
    pub(super) fn finish_request(
        &mut self,
        id: &RequestId,
        streams: Option<AttemptNumber>,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut pending) = self.requests.remove(id) else {
            return;
        };
        // No such attempt is a host's slip.
        let attempt_exists = streams.is_none_or(|number| number < pending.attempts.len());
        pending.is_answered |= attempt_exists;
        if pending.is_answered {
            // Left there it would count against those behind it, past the queue limit, until its time.
            self.queued.remove(&pending);
            if self.settings.limits.cancel {
                cancel_attempts(&pending, streams, actions);
            }
        }
        self.retain_while_pending(pending);
    }
}

fn cancel_attempts(
    pending: &PendingRequest,
    but: Option<AttemptNumber>,
    actions: &mut Vec<Action>,
) {
    for (attempt, Attempt { state, .. }) in pending.attempts.iter().enumerate() {
        if *state == AttemptState::InFlight && but != Some(attempt) {
            actions.push(Action::Cancel {
                request: pending.request.id.clone(),
                attempt,
            });
        }
    }
}
