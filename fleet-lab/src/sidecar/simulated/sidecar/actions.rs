//! What the decision module has a hollow sidecar do.

use super::super::attempts::{self, Attempt, HealthCheck};
use super::super::pending_calls::NextAttempt;
use super::{SidecarHandle, SimulatedSidecar};
use balancer_sidecar::discovery;
use balancer_sidecar::policy::{
    Action, AttemptEnd, AttemptNumber, DiscoveryMode, EndpointId, Event, Outcome, RequestId,
    Timestamp,
};
use balancer_sidecar::task::Task;
use rand::RngExt;
use rand_distr::Exp1;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

impl SimulatedSidecar {
    /// Does what one action says. What comes of it at once is put with the events to be told.
    pub(super) fn execute(&mut self, handle: &SidecarHandle, action: Action) {
        match action {
            Action::Send {
                request,
                endpoint,
                timeout,
            } => self.send(handle, request, &endpoint, timeout),
            Action::Cancel { request, attempt } => self.cancel_attempt(&request, attempt),
            Action::Reject { request, .. } | Action::Fail { request } => {
                self.end_unserved(&request);
            }
            Action::SetTimer { at, token } => self.set_timer(handle, at, token),
            // An agent that pushes is followed unasked.
            Action::Subscribe | Action::Unsubscribe
                if self.settings.discovery == DiscoveryMode::Pushed => {}
            Action::Unsubscribe => self.end_watch(),
            Action::Subscribe => {
                // A reload may have asked already; a second watch would cost discovery a call for nothing.
                if !self.subscription.is_watching() {
                    self.begin_watch(handle);
                }
            }
            Action::FetchList => drop(spawn_local(discovery::fetch(
                handle.clone(),
                self.subscription.source(),
            ))),
            Action::HealthCheck { endpoint } => self.check_health(handle, endpoint),
            Action::Log(text) => tracing::debug!(index = self.incarnation.index, "{text}"),
            // There are no connections, and no peers.
            Action::CloseIdleConnections { .. } | Action::SendPeerMessage { .. } => {}
        }
    }

    /// Has a timer event come at a time.
    fn set_timer(&self, handle: &SidecarHandle, at: Timestamp, token: u64) {
        let (handle, due) = (handle.clone(), self.clock.instant(at));
        spawn_local(async move {
            sleep_until(due).await;
            handle.handle_event(Event::Timer { token });
        });
    }

    /// Begins an attempt, unless its call is answered or its endpoint is gone.
    fn send(
        &mut self,
        handle: &SidecarHandle,
        request: RequestId,
        endpoint: &EndpointId,
        timeout: Option<Duration>,
    ) {
        let now = self.clock.now();
        let Some(next) = self.pending_calls.next_attempt(&request) else {
            return;
        };
        if next.call_is_answered || self.subscription.membership().get(endpoint).is_none() {
            self.pending_calls.begin_attempt(&request, now, None);
            self.events.push_back(not_sent(request, &next));
            return;
        }
        self.fleet.counters.count_attempt();
        let until = timeout.map_or(next.deadline, |timeout| next.deadline.min(now + timeout));
        let unit_time: f64 = self.random.sample(Exp1);
        let attempt = Attempt {
            request: request.clone(),
            number: next.number,
            endpoint: self.fleet.endpoints.get(endpoint),
            until: self.clock.instant(until),
            connect_timeout: self.settings.limits.connect_timeout,
            service_time: self.fleet.load.mean_service_time.mul_f64(unit_time),
            reporting: self.settings.reporting,
        };
        let task = Task::spawn(attempts::attempt(
            handle.clone(),
            self.fleet.clone(),
            attempt,
        ));
        self.pending_calls.begin_attempt(&request, now, Some(task));
    }

    /// Ends an attempt whose answer is no longer wanted.
    fn cancel_attempt(&mut self, request: &RequestId, attempt: AttemptNumber) {
        let Some(ended) = self.pending_calls.end_attempt(request, attempt, false) else {
            return;
        };
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            request: request.clone(),
            attempt,
            outcome: Outcome::Cancelled,
            took: self.clock.now().since(ended.sent),
            request_ended: ended.call_is_answered,
            report: None,
        }));
        self.pending_calls.remove_if_complete(request);
    }

    /// Answers a call without having served it, unless it is answered.
    fn end_unserved(&mut self, request: &RequestId) {
        if self.pending_calls.answer(request) {
            self.fleet.counters.count_unserved(1);
            self.pending_calls.remove_if_complete(request);
        }
    }

    /// Probes an endpoint, if it is listed.
    fn check_health(&mut self, handle: &SidecarHandle, endpoint: EndpointId) {
        let Some(started_at) = self.started_at(&endpoint) else {
            return;
        };
        self.fleet.counters.count_health_check();
        let check_health = HealthCheck {
            simulated: self.fleet.endpoints.get(&endpoint),
            endpoint,
            started_at,
            connect_timeout: self.settings.limits.connect_timeout,
            reporting: self.settings.reporting,
        };
        spawn_local(attempts::check_health(handle.clone(), check_health));
    }
}

/// The end of an attempt that has nowhere to go, or comes too late.
fn not_sent(request: RequestId, attempt: &NextAttempt) -> Event {
    Event::AttemptEnded(AttemptEnd {
        request,
        attempt: attempt.number,
        outcome: Outcome::NotSent,
        took: Duration::ZERO,
        request_ended: attempt.call_is_answered,
        report: None,
    })
}
