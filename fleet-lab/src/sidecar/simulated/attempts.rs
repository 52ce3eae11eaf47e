//! Attempts and health checks, which are simulated in memory.

use super::endpoints::SimulatedEndpoint;
use super::fleet_state::FleetState;
use balancer_sidecar::policy::{
    AttemptNumber, EndpointId, LoadReport, Outcome, Reporting, RequestId, Timestamp,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// The time that an endpoint takes to respond to a health check.
const HEALTH_CHECK_RESPONSE_TIME: Duration = Duration::from_millis(1);
/// Timeout of a health check, which is the same as in the real sidecar.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// The receiver of the results of attempts and health checks.
pub(super) trait AttemptObserver {
    /// Handles the end of an attempt.
    fn attempt_ended(&self, request: &RequestId, attempt: AttemptNumber, result: AttemptResult);

    /// Handles the end of a health check.
    fn health_check_ended(
        &self,
        health_check: &HealthCheck,
        elapsed: Duration,
        result: AttemptResult,
    );
}

/// An attempt to be simulated.
pub(super) struct Attempt {
    pub request: RequestId,
    pub number: AttemptNumber,
    pub endpoint: Arc<SimulatedEndpoint>,
    /// The time at which the attempt times out.
    pub deadline: Instant,
    pub connect_timeout: Duration,
    /// The time that the endpoint takes to process the request.
    pub service_time: Duration,
    pub reporting: Reporting,
}

/// A health check to be simulated.
pub(super) struct HealthCheck {
    pub endpoint: EndpointId,
    pub simulated_endpoint: Arc<SimulatedEndpoint>,
    /// The last start of the endpoint at the time of the health check. The result is obsolete if the endpoint has
    /// started again since.
    pub started_at: Option<Timestamp>,
    pub connect_timeout: Duration,
    pub reporting: Reporting,
}

/// The result of an attempt or a health check.
pub(super) struct AttemptResult {
    pub outcome: Outcome,
    pub report: Option<LoadReport>,
}

impl AttemptResult {
    fn without_response(outcome: Outcome) -> Self {
        AttemptResult {
            outcome,
            report: None,
        }
    }
}

/// Simulates an attempt and reports its result.
pub(super) async fn run_attempt(
    observer: impl AttemptObserver,
    fleet: Arc<FleetState>,
    attempt: Attempt,
) {
    let result = attempt.run(&fleet).await;
    observer.attempt_ended(&attempt.request, attempt.number, result);
}

impl Attempt {
    async fn run(&self, fleet: &FleetState) -> AttemptResult {
        let started = Instant::now();
        if self.endpoint.is_unreachable() {
            sleep_until(self.deadline.min(started + self.connect_timeout)).await;
            return AttemptResult::without_response(Outcome::ConnectFailed);
        }
        fleet
            .endpoints
            .count_attempt(&self.endpoint, fleet.counters.second());
        let outages = self.endpoint.outages();
        let in_flight = self.endpoint.start_request();
        let finishes_at = started + self.service_time;
        sleep_until(finishes_at.min(self.deadline)).await;
        drop(in_flight);
        if finishes_at > self.deadline || self.endpoint.outages() != outages {
            sleep_until(self.deadline).await;
            return AttemptResult::without_response(Outcome::TimedOut);
        }
        let reports = self.reporting == Reporting::WithResponses;
        AttemptResult {
            outcome: Outcome::Served,
            report: reports.then(|| self.endpoint.load_report()),
        }
    }
}

/// Simulates a health check and reports its result.
pub(super) async fn run_health_check(observer: impl AttemptObserver, health_check: HealthCheck) {
    let sent = Instant::now();
    let result = health_check.run().await;
    observer.health_check_ended(&health_check, sent.elapsed(), result);
}

impl HealthCheck {
    async fn run(&self) -> AttemptResult {
        if self.simulated_endpoint.is_unreachable() {
            sleep(self.connect_timeout.min(HEALTH_CHECK_TIMEOUT)).await;
            return AttemptResult::without_response(Outcome::ConnectFailed);
        }
        sleep(HEALTH_CHECK_RESPONSE_TIME).await;
        let reports = self.reporting != Reporting::Off;
        AttemptResult {
            outcome: Outcome::Served,
            report: reports.then(|| self.simulated_endpoint.load_report()),
        }
    }
}
