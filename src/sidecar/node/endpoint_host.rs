//! The node as attempts and probes see it.

use super::open_request::FinalAnswer;
use super::state::NodeHandle;
use crate::policy::{EndpointId, Event, Outcome};
use crate::sidecar::clock::Clock;
use crate::sidecar::descriptors::Side;
use crate::sidecar::endpoint::{
    AttemptResult, AttemptSpec, ConnectPermit, EndpointConnection, EndpointHost, SweepTask, Target,
};
use crate::sidecar::memory::MemoryBudget;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

impl EndpointHost for NodeHandle {
    fn clock(&self) -> Clock {
        self.borrow().clock
    }

    fn connect_timeout(&self) -> Duration {
        self.borrow().settings.current().limits.connect_timeout
    }

    fn response_memory(&self) -> MemoryBudget {
        self.borrow().answer_memory.clone()
    }

    fn descriptors_exhausted(&self) -> bool {
        self.borrow().descriptors.is_exhausted()
    }

    fn connect_permit(&self) -> Option<ConnectPermit> {
        let mut node = self.borrow();
        if node.descriptors.is_exhausted() && !node.pool.close_oldest() && !node.callers.evict_one()
        {
            return None;
        }
        node.counters.connects += 1;
        let descriptor = node.descriptors.permit(Side::Endpoints);
        Some(ConnectPermit {
            descriptor,
            attempts_written: node.metrics.attempts.clone(),
        })
    }

    fn take_connection(&self, endpoint: &EndpointId) -> Option<EndpointConnection> {
        self.borrow().pool.take(endpoint)
    }

    fn return_connection(&self, connection: EndpointConnection, target: &Target) {
        let mut node = self.borrow();
        if !node.takes_work(target) {
            return;
        }
        if node.pool.put(&target.endpoint, connection) == SweepTask::Needed {
            spawn_local(sweep_pool(self.clone()));
        }
    }

    fn may_write(&self, spec: &AttemptSpec) -> bool {
        let node = self.borrow();
        let Some(open) = node.open.get(&spec.request) else {
            return false;
        };
        let is_in_time = node.clock.now() < spec.deadline;
        open.is_unanswered()
            && open.is_in_flight(spec.attempt)
            && node.takes_work(&spec.target)
            && is_in_time
    }

    /// The first attempt served is the request's answer.
    fn attempt_ended(&self, spec: &AttemptSpec, result: AttemptResult) {
        let mut guard = self.borrow();
        let node = &mut *guard;
        let Some(open) = node.open.get_mut(&spec.request) else {
            return;
        };
        let Some(sent) = open.end_attempt(spec.attempt) else {
            return; // cancelled, and the module knows
        };
        // It ran from when the endpoint had all of it.
        let completed_at = spec
            .forwarded
            .upload
            .as_ref()
            .and_then(|upload| upload.completed_at());
        let completed_at = completed_at.map(|instant| node.clock.timestamp(instant));
        let sent = completed_at.map_or(sent, |at| at.max(sent));
        open.has_timed_out = result.outcome == Outcome::TimedOut;
        if let Some(response) = result.response {
            node.answer(&spec.request, FinalAnswer::Served(response));
        }
        let event = node.attempt_end(
            &spec.request,
            spec.attempt,
            sent,
            result.outcome,
            result.report,
        );
        drop(guard);
        if spec.forwarded.is_consumed() {
            self.handle(Event::BodyConsumed {
                request: spec.request.clone(),
            });
        }
        self.handle(event);
        self.borrow().forget_if_over(&spec.request);
    }

    fn health_check_ended(&self, target: &Target, took: Duration, result: AttemptResult) {
        let AttemptResult {
            outcome, report, ..
        } = result;
        let mut node = self.borrow();
        node.counters.health_checks += 1;
        node.counters.reports += u64::from(report.is_some());
        if node
            .subscription
            .membership()
            .get(&target.endpoint)
            .is_none_or(|m| m.started_at != target.started_at)
        {
            return; // it speaks of a process that is no more
        }
        drop(node);
        self.handle(Event::HealthCheckEnded {
            endpoint: target.endpoint.clone(),
            outcome,
            took,
            report,
        });
    }
}

/// Sweeps the pool for as long as it holds connections.
async fn sweep_pool(node: NodeHandle) {
    loop {
        let next = node.borrow().pool.sweep();
        let Some(next) = next else { return };
        sleep_until(next).await;
    }
}
