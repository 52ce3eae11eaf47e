//! What the end of an attempt means: for its request, a retry or the final answer; for its endpoint, news of
//! its state.

use super::action::Action;
use super::balancer::Balancer;
use super::endpoint::EndpointIndex;
use super::event::{AttemptEnd, Outcome, Request};
use super::pending::{AttemptState, PendingRequest};
use super::time::Timestamp;

/// A time-out is held against its endpoint from this multiple of the expected time on: a request that came
/// nearly out of time proves nothing.
const MIN_COUNTED_TIMEOUT_MULTIPLE: f64 = 2.0;

impl Balancer {
    /// An attempt has ended.
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
        let proves_not_run = ended.outcome.proves_not_run();
        attempt.state = if proves_not_run {
            AttemptState::NotRun
        } else {
            AttemptState::MayHaveRun
        };
        let index = attempt.endpoint;
        self.end_in_flight(index, &pending, ended.outcome);
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

    /// Has the request's key rest, where the attempt may run on.
    fn start_key_cooldown(&mut self, now: Timestamp, pending: &PendingRequest, outcome: Outcome) {
        let may_run_on = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        let pause = self.settings.rules.key_cooldown.filter(|_| may_run_on);
        if let (Some(pause), Some(key)) = (pause, &pending.request.key) {
            self.key_order.start_cooldown(key, now + pause);
        }
    }

    fn retry_or_answer(
        &mut self,
        now: Timestamp,
        pending: &mut PendingRequest,
        actions: &mut Vec<Action>,
    ) {
        let is_in_time = pending.useful_until.since(now) > self.expected_time(&pending.request);
        let may_retry = self.retry_budget.has_token() && is_in_time;
        if !may_retry || self.retry_scope(now, pending).is_none() {
            return self.reject_or_fail(now, pending, actions);
        }
        self.retry_budget.spend();
        if !self.try_send(now, pending, actions) {
            pending.queue_deadline = pending.queue_deadline.max(now + self.settings.tick);
            self.queued.push(pending);
        }
    }

    /// What the end says of the endpoint.
    fn record_outcome(
        &mut self,
        now: Timestamp,
        index: EndpointIndex,
        request: &Request,
        ended: &AttemptEnd,
    ) {
        let min_counted_timeout = self
            .expected_time(request)
            .mul_f64(MIN_COUNTED_TIMEOUT_MULTIPLE);
        match ended.outcome {
            Outcome::TimedOut if ended.took < min_counted_timeout => return,
            Outcome::Cancelled | Outcome::NotSent => return,
            _ => self.count_failure(now, index, request, ended),
        }
        if ended.outcome == Outcome::Error {
            return; // it is quick, and may come from the tier below: it says nothing of the queue
        }
        if ended.outcome == Outcome::Served {
            self.record_answer_time(index, request, ended);
        }
        let reported = ended.report.as_ref().map(Self::reported_queue_length);
        // A broken connection or answer is a failure, and says nothing of the queue either.
        let implies_queue = matches!(ended.outcome, Outcome::Rejected | Outcome::TimedOut);
        let implied_queue_length = implies_queue.then_some(self.thresholds.highest_onset());
        if let Some(queue_length) = reported
            .into_iter()
            .chain(implied_queue_length)
            .reduce(f64::max)
        {
            self.update_overload_state(now, index, queue_length);
        }
    }
}
