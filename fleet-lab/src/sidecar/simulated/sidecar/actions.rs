//! Execution of the actions that the balancer returns.

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
    /// Executes an action. Events that the action causes immediately are queued for the balancer.
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
            // If an agent pushes lists, the watch does not depend on the balancer.
            Action::Subscribe | Action::Unsubscribe
                if self.settings.discovery == DiscoveryMode::Pushed => {}
            Action::Unsubscribe => self.stop_watch(),
            Action::Subscribe => {
                // A reload may already have started a watch. A second one would cost discovery an unnecessary call.
                if !self.subscription.is_watching() {
                    self.start_watch(handle);
                }
            }
            Action::FetchList => drop(spawn_local(discovery::fetch(
                handle.clone(),
                self.subscription.source(),
            ))),
            Action::HealthCheck { endpoint } => self.check_health(handle, endpoint),
            Action::Log(text) => tracing::debug!(index = self.incarnation.index, "{text}"),
            // Simulated sidecars have neither connections to endpoints nor peers.
            Action::CloseIdleConnections { .. } | Action::SendPeerMessage { .. } => {}
        }
    }

    /// Schedules a timer event for the balancer.
    fn set_timer(&self, handle: &SidecarHandle, at: Timestamp, token: u64) {
        let (handle, due) = (handle.clone(), self.clock.instant(at));
        spawn_local(async move {
            sleep_until(due).await;
            handle.handle_event(Event::Timer { token });
        });
    }

    /// Starts an attempt. If its call is answered or its endpoint is not listed, the attempt ends as not sent.
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
            self.pending_calls.start_attempt(&request, now, None);
            self.events.push_back(not_sent(request, &next));
            return;
        }
        self.fleet.counters.count_attempt();
        let deadline = timeout.map_or(next.deadline, |timeout| next.deadline.min(now + timeout));
        let unit_time: f64 = self.random.sample(Exp1);
        let attempt = Attempt {
            request: request.clone(),
            number: next.number,
            endpoint: self.fleet.endpoints.get(endpoint),
            deadline: self.clock.instant(deadline),
            connect_timeout: self.settings.limits.connect_timeout,
            service_time: self.fleet.load.mean_service_time.mul_f64(unit_time),
            reporting: self.settings.reporting,
        };
        let task = Task::spawn(attempts::run_attempt(
            handle.clone(),
            self.fleet.clone(),
            attempt,
        ));
        self.pending_calls.start_attempt(&request, now, Some(task));
    }

    /// Cancels an attempt.
    fn cancel_attempt(&mut self, request: &RequestId, attempt: AttemptNumber) {
        let Some(ended) = self.pending_calls.end_attempt(request, attempt, false) else {
            return;
        };
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            request: request.clone(),
            attempt,
            outcome: Outcome::Cancelled,
            elapsed: self.clock.now().since(ended.sent),
            request_ended: ended.call_is_answered,
            report: None,
        }));
        self.pending_calls.remove_if_complete(request);
    }

    /// Marks a call as answered and counts it as unserved, unless it is already answered.
    fn end_unserved(&mut self, request: &RequestId) {
        if self.pending_calls.mark_answered(request) {
            self.fleet.counters.count_unserved(1);
            self.pending_calls.remove_if_complete(request);
        }
    }

    /// Checks the health of an endpoint, if it is listed.
    fn check_health(&mut self, handle: &SidecarHandle, endpoint: EndpointId) {
        let Some(started_at) = self.started_at(&endpoint) else {
            return;
        };
        self.fleet.counters.count_health_check();
        let health_check = HealthCheck {
            simulated_endpoint: self.fleet.endpoints.get(&endpoint),
            endpoint,
            started_at,
            connect_timeout: self.settings.limits.connect_timeout,
            reporting: self.settings.reporting,
        };
        spawn_local(attempts::run_health_check(handle.clone(), health_check));
    }
}

/// Returns the event for the end of an attempt that was not sent.
fn not_sent(request: RequestId, attempt: &NextAttempt) -> Event {
    Event::AttemptEnded(AttemptEnd {
        request,
        attempt: attempt.number,
        outcome: Outcome::NotSent,
        elapsed: Duration::ZERO,
        request_ended: attempt.call_is_answered,
        report: None,
    })
}
