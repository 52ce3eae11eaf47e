//! Attempts from their sends to their ends.

use super::open_request::OpenRequest;
use super::state::{Node, NodeHandle};
use crate::policy::{
    AttemptEnd, AttemptNumber, EndpointId, Event, LoadReport, Outcome, Readiness, RequestId,
    Timestamp,
};
use crate::sidecar::endpoint::{self, AttemptSpec, Target};
use crate::task::Task;
use std::time::Duration;

impl Node {
    /// Where an endpoint listens, if it is listed.
    pub(super) fn target(&self, endpoint: &EndpointId) -> Option<Target> {
        let member = self.subscription.membership().get(endpoint)?;
        let (address, started_at) = (member.address, member.started_at);
        Some(Target {
            endpoint: endpoint.clone(),
            address,
            started_at,
        })
    }

    /// Whether an endpoint's process takes work, by the list and by the operators.
    pub(super) fn takes_work(&self, target: &Target) -> bool {
        self.subscription
            .membership()
            .get(&target.endpoint)
            .is_some_and(|member| {
                let is_same =
                    member.started_at == target.started_at && member.address == target.address;
                member.readiness == Readiness::Serving && is_same
            })
            && !self.is_disabled(&target.endpoint)
    }

    /// Starts an attempt, if its request still wants an answer and its endpoint is still listed.
    pub(super) fn send(
        &mut self,
        handle: &NodeHandle,
        request: RequestId,
        endpoint: EndpointId,
        timeout: Option<Duration>,
    ) {
        let now = self.clock.now();
        let target = self.target(&endpoint);
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let attempt = open.next_attempt();
        if let Some(target) = target.filter(|_| open.is_unanswered()) {
            let deadline =
                timeout.map_or(open.deadline, |timeout| open.deadline.min(now + timeout));
            let forwarded = open.forwarded.clone();
            let spec = AttemptSpec {
                request: request.clone(),
                attempt,
                target,
                deadline,
                forwarded,
            };
            open.begin_attempt(
                now,
                Task::spawn(endpoint::run_attempt(handle.clone(), spec)),
            );
        } else {
            open.skip_attempt();
            let event = self.attempt_end(&request, attempt, now, Outcome::NotSent, None);
            self.events.push_back(event);
        }
    }

    /// Stops an attempt's task, which closes its connection.
    pub(super) fn cancel(&mut self, request: &RequestId, attempt: AttemptNumber) {
        let Some(open) = self.open.get_mut(request) else {
            return;
        };
        if let Some(sent) = open.end_attempt(attempt) {
            let event = self.attempt_end(request, attempt, sent, Outcome::Cancelled, None);
            self.events.push_back(event);
            self.forget_if_over(request);
        }
    }

    /// The end of an attempt, counted and as the module is told.
    pub(super) fn attempt_end(
        &mut self,
        request: &RequestId,
        attempt: AttemptNumber,
        sent: Timestamp,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) -> Event {
        self.counters.attempt_ended(outcome);
        self.counters.reports += u64::from(report.is_some());
        Event::AttemptEnded(AttemptEnd {
            request: request.clone(),
            attempt,
            outcome,
            took: self.clock.now().since(sent),
            request_ended: !self
                .open
                .get(request)
                .is_some_and(OpenRequest::is_unanswered),
            report,
        })
    }
}
