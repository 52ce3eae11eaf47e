//! The node as the host of attempts and health checks.

use super::open_request::FinalAnswer;
use super::state::{Node, NodeHandle};
use crate::clock::Clock;
use crate::policy::{EndpointId, Event, ListValidity, Timestamp};
use crate::sidecar::endpoint::{
    AttemptResult, AttemptSpec, ConnectPermit, EndpointConnection, EndpointHost, EndpointProcess,
    KnownProcessGuard, SweepTask,
};
use crate::sidecar::memory::MemoryBudget;
use std::collections::HashSet;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

impl EndpointHost for NodeHandle {
    fn clock(&self) -> Clock {
        self.borrow().clock()
    }

    fn connect_timeout(&self) -> Duration {
        self.borrow()
            .configuration
            .settings()
            .limits
            .connect_timeout
    }

    fn response_memory(&self) -> MemoryBudget {
        self.borrow().memory.response_bodies().clone()
    }

    fn descriptors_exhausted(&self) -> bool {
        self.borrow().connections.descriptors_exhausted()
    }

    fn connect_permit(&self) -> Option<ConnectPermit> {
        let mut node = self.borrow();
        let descriptor = node.connections.endpoint_connection_permit()?;
        node.counters.connection_opened();
        Some(ConnectPermit {
            descriptor,
            written_attempts: node.metrics.written_attempts(),
        })
    }

    fn take_connection(&self, endpoint: &EndpointId) -> Option<EndpointConnection> {
        self.borrow().connections.take_idle(endpoint)
    }

    fn return_connection(&self, connection: EndpointConnection, target: &EndpointProcess) {
        let mut node = self.borrow();
        if !node.takes_work(target) {
            return;
        }
        let sweep_task = node.connections.put_idle(&target.endpoint, connection);
        if sweep_task == SweepTask::Needed {
            spawn_local(sweep_pool(self.clone()));
        }
    }

    fn may_write(&self, spec: &AttemptSpec) -> bool {
        let node = self.borrow();
        let Some(open_request) = node.requests.get(&spec.request) else {
            return false;
        };
        open_request.is_unanswered()
            && open_request.is_in_flight(spec.attempt)
            && node.takes_work(&spec.target)
            && node.clock.now() < spec.deadline
    }

    fn attempt_begins(&self, spec: &AttemptSpec) {
        if !spec.forwarded.is_repeatable {
            self.borrow().remember_sent_request(&spec.request);
        }
    }

    fn process_ended(&self, target: &EndpointProcess) {
        if self.borrow().endpoints.is_same_process(target) {
            self.handle(Event::ProcessEnded {
                endpoint: target.endpoint.clone(),
            });
        }
    }

    fn known_process_guard(&self, target: &EndpointProcess) -> Option<KnownProcessGuard> {
        let node = self.borrow();
        let now = node.clock.now();
        let is_known = node.balancer.new_connection_proves_listed_process(now)
            || node.connections.is_known_process(target);
        is_known.then(|| node.connections.add_known_process(target))
    }

    fn list_validity(&self) -> ListValidity {
        let node = self.borrow();
        node.balancer.list_validity(node.clock.now())
    }

    /// Gives the balancer all endpoints that it may use at once, so that it does not try the others one by one.
    fn overdue_list_used(&self) {
        let endpoints = match self.list_validity() {
            ListValidity::Usable => return, // a list has just arrived
            ListValidity::KnownProcesses => self.borrow().endpoints_with_known_process(),
            ListValidity::Unusable => HashSet::new(),
        };
        self.handle(Event::KnownProcessesReported { endpoints });
    }

    /// Ends an attempt. The response of the first served attempt is the request's final answer.
    fn attempt_ended(&self, spec: &AttemptSpec, result: AttemptResult) {
        let request = &spec.request;
        let Some(event) = self.borrow().end_attempt(spec, result) else {
            return;
        };
        if spec.forwarded.is_consumed() {
            self.handle(Event::BodyConsumed {
                request: request.clone(),
            });
        }
        self.handle(event);
        self.borrow().requests.remove_if_finished(request);
    }

    fn health_check_ended(
        &self,
        target: &EndpointProcess,
        elapsed: Duration,
        result: AttemptResult,
    ) {
        let AttemptResult {
            outcome, report, ..
        } = result;
        let mut node = self.borrow();
        node.counters.health_check_ended(report.as_ref());
        if !node.endpoints.is_same_process(target) {
            return;
        }
        drop(node);
        self.handle(Event::HealthCheckEnded {
            endpoint: target.endpoint.clone(),
            outcome,
            elapsed,
            report,
        });
    }
}

impl Node {
    /// Returns the serving endpoints whose listed processes are known.
    fn endpoints_with_known_process(&self) -> HashSet<EndpointId> {
        let serving = self.endpoints.serving();
        let targets = serving.filter_map(|endpoint| self.endpoints.listed_process(endpoint));
        targets
            .filter(|target| self.connections.is_known_process(target))
            .map(|target| target.endpoint)
            .collect()
    }

    /// Ends an attempt, and answers its request if the attempt was served. Returns the event that reports the end to
    /// the balancer. Returns `None` for a cancelled attempt, whose end the balancer already knows.
    fn end_attempt(&mut self, spec: &AttemptSpec, result: AttemptResult) -> Option<Event> {
        let open_request = self.requests.get_mut(&spec.request)?;
        let sent_at = open_request.end_attempt(spec.attempt)?;
        open_request.set_last_outcome(result.outcome);
        if let Some(response) = result.response {
            self.answer(&spec.request, FinalAnswer::Served(response));
        }
        let sent_at = self
            .upload_completed_at(spec)
            .map_or(sent_at, |at| at.max(sent_at));
        Some(self.record_attempt_end(
            &spec.request,
            spec.attempt,
            sent_at,
            result.outcome,
            result.report,
        ))
    }

    /// Returns the time at which an attempt's upload was complete. The endpoint's response time is measured from then
    /// on.
    fn upload_completed_at(&self, spec: &AttemptSpec) -> Option<Timestamp> {
        let upload = spec.forwarded.upload.as_ref()?;
        let completed_at = upload.completed_at()?;
        Some(self.clock.timestamp(completed_at))
    }
}

/// Sweeps the pool for as long as it has idle connections.
async fn sweep_pool(node: NodeHandle) {
    loop {
        let next = node.borrow().connections.sweep_idle();
        let Some(next) = next else { return };
        sleep_until(next).await;
    }
}
