//! The end of an attempt: a retry or the final answer of its request, and an update of the endpoint's state.

use super::action::Action;
use super::balancer::Balancer;
use super::endpoint::EndpointIndex;
use super::event::{AttemptEnd, Outcome, Request};
use super::pending::{AttemptState, PendingRequest};
use super::time::Timestamp;

/// The least duration of a timed-out attempt that counts against its endpoint, as a multiple of the expected time. A
/// shorter timeout only shows that the request had little time left.
const MIN_COUNTED_TIMEOUT_MULTIPLE: f64 = 2.0;

impl Balancer {
    /// Handles the end of an attempt.
    pub(super) fn attempt_ended(
        &mut self,
        now: Timestamp,
        ended: &AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut pending) = self.requests.remove(&ended.request) else {
            return;
        };
        let attempt = pending.attempts.get_mut(ended.attempt);
        let Some(attempt) = attempt.filter(|a| a.state == AttemptState::InFlight) else {
            return self.retain_while_pending(pending);
        };
        attempt.state = AttemptState::after(ended.outcome);
        let index = attempt.endpoint;
        let deadline = pending.request.deadline;
        self.in_flight
            .end(&mut self.endpoints, index, ended.outcome, deadline);
        self.close_idle_if_draining(index, actions);
        self.start_key_cooldown(now, &pending, ended.outcome);
        self.record_outcome(now, index, &pending.request, ended);
        if ended.request_ended && !pending.is_answered {
            self.requests.insert(ended.request.clone(), pending);
            return self.finish_request(&ended.request, None, actions);
        }
        if !pending.is_answered && !pending.has_attempts_in_flight() {
            self.retry_or_answer(now, &mut pending, actions);
        }
        self.retain_while_pending(pending);
    }

    /// Starts the cooldown of the request's key after an attempt that may still run.
    fn start_key_cooldown(&mut self, now: Timestamp, pending: &PendingRequest, outcome: Outcome) {
        let may_still_run = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        let cooldown = self.settings.rules.key_cooldown.filter(|_| may_still_run);
        if let (Some(cooldown), Some(key)) = (cooldown, &pending.request.key) {
            self.key_order.start_cooldown(key, now + cooldown);
        }
    }

    /// Retries a request whose attempts have all ended, or gives its final answer.
    fn retry_or_answer(
        &mut self,
        now: Timestamp,
        pending: &mut PendingRequest,
        actions: &mut Vec<Action>,
    ) {
        let is_in_time = pending.useful_until.since(now) > self.expected_time(&pending.request);
        let may_retry = self.budgets.retries.has_token() && is_in_time;
        if !may_retry || self.retry_scope(now, pending).is_none() {
            return self.reject_or_fail(now, pending, actions);
        }
        self.budgets.retries.spend();
        if !self.try_send(now, pending, actions) {
            pending.queue_deadline = pending.queue_deadline.max(now + self.settings.tick);
            self.queued.push(pending);
        }
    }

    /// Updates the endpoint's failure rate, answer times and overload state.
    fn record_outcome(
        &mut self,
        now: Timestamp,
        index: EndpointIndex,
        request: &Request,
        ended: &AttemptEnd,
    ) {
        let expected_time = self.expected_time(request);
        let min_counted_timeout = expected_time.mul_f64(MIN_COUNTED_TIMEOUT_MULTIPLE);
        match ended.outcome {
            Outcome::TimedOut if ended.elapsed < min_counted_timeout => return,
            Outcome::Cancelled | Outcome::NotSent => return,
            _ => self.update_failure_rate(now, index, request, ended),
        }
        if ended.outcome == Outcome::Error {
            return; // errors come quickly and may come from the next tier; they say nothing about the queue
        }
        if ended.outcome == Outcome::Served {
            self.record_answer_time(index, request, ended);
        }
        let reported = ended.report.as_ref().map(Self::reported_queue_length);
        let implied = self.implied_queue_length(ended.outcome);
        let queue_length = reported.into_iter().chain(implied).reduce(f64::max);
        if let Some(queue_length) = queue_length {
            self.update_overload_state(now, index, queue_length);
        }
    }

    /// Returns the queue length that an outcome implies. Rejections and timeouts imply a queue. Other outcomes, such as
    /// a failed connection, a broken connection or a malformed answer, do not.
    pub(super) fn implied_queue_length(&self, outcome: Outcome) -> Option<f64> {
        let implies_queue = matches!(outcome, Outcome::Rejected | Outcome::TimedOut);
        implies_queue.then_some(self.thresholds.highest_onset())
    }
}
