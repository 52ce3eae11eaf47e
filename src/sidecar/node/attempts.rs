//! The start, cancellation and end of attempts.

use super::state::{Node, NodeHandle};
use crate::policy::{
    AttemptEnd, AttemptNumber, EndpointId, Event, LoadReport, Outcome, RequestId, Timestamp,
};
use crate::sidecar::endpoint::{self, AttemptSpec, EndpointProcess};
use crate::task::Task;
use std::time::Duration;

impl Node {
    /// Returns whether an endpoint still takes attempts in this process. It must be listed as serving with the same
    /// process, and be neither disabled by the operators nor suspended.
    pub(super) fn takes_work(&self, target: &EndpointProcess) -> bool {
        self.endpoints.is_serving(target)
            && !self.balancer.is_disabled(&target.endpoint)
            && !self.balancer.is_suspended(&target.endpoint)
    }

    /// Starts an attempt. If its request is already answered or its endpoint is no longer listed, reports the attempt
    /// to the balancer as not sent. Does nothing if the request is no longer open.
    pub(super) fn send_attempt(
        &mut self,
        handle: &NodeHandle,
        request: RequestId,
        endpoint: &EndpointId,
        timeout: Option<Duration>,
    ) {
        let now = self.clock.now();
        let target = self.endpoints.listed_process(endpoint);
        let Some(open_request) = self.requests.get_mut(&request) else {
            return;
        };
        let attempt = open_request.next_attempt();
        let Some(target) = target.filter(|_| open_request.is_unanswered()) else {
            open_request.add_unsent_attempt();
            let event = self.record_attempt_end(&request, attempt, now, Outcome::NotSent, None);
            self.queue_event(event);
            return;
        };
        let request_deadline = open_request.deadline();
        let spec = AttemptSpec {
            request,
            attempt,
            target,
            deadline: timeout.map_or(request_deadline, |timeout| {
                request_deadline.min(now + timeout)
            }),
            request_deadline,
            forwarded: open_request.forwarded().clone(),
        };
        let task = Task::spawn(endpoint::run_attempt(handle.clone(), spec));
        open_request.begin_attempt(now, task);
    }

    /// Aborts an attempt, which closes its connection.
    pub(super) fn cancel_attempt(&mut self, request: &RequestId, attempt: AttemptNumber) {
        let Some(open_request) = self.requests.get_mut(request) else {
            return;
        };
        if let Some(sent_at) = open_request.end_attempt(attempt) {
            let event =
                self.record_attempt_end(request, attempt, sent_at, Outcome::Cancelled, None);
            self.queue_event(event);
            self.requests.remove_if_finished(request);
        }
    }

    /// Counts an attempt that has ended, and returns the event that reports its end to the balancer.
    pub(super) fn record_attempt_end(
        &mut self,
        request: &RequestId,
        attempt: AttemptNumber,
        sent_at: Timestamp,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) -> Event {
        self.counters.attempt_ended(outcome, report.as_ref());
        Event::AttemptEnded(AttemptEnd {
            request: request.clone(),
            attempt,
            outcome,
            elapsed: self.clock.now().since(sent_at),
            request_ended: !self.requests.is_unanswered(request),
            report,
        })
    }
}
