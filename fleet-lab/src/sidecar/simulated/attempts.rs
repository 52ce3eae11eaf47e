//! Attempts and probes that are answered in memory.

use super::endpoints::SimulatedEndpoint;
use super::fleet_state::FleetState;
use balancer_sidecar::policy::{
    AttemptNumber, EndpointId, LoadReport, Outcome, Reporting, RequestId, Timestamp,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// How long an endpoint takes to answer a probe.
const HEALTH_CHECK_ANSWER_TIME: Duration = Duration::from_millis(1);
/// A probe that is not answered for this long has failed, as at the real sidecar.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Who is told how attempts and probes end.
pub(super) trait AttemptOwner {
    /// An attempt has ended.
    fn attempt_ended(&self, request: &RequestId, attempt: AttemptNumber, ending: AttemptResult);

    /// A probe has ended.
    fn health_check_ended(&self, check_health: &HealthCheck, took: Duration, ending: AttemptResult);
}

/// An attempt to be made.
pub(super) struct Attempt {
    pub request: RequestId,
    pub number: AttemptNumber,
    pub endpoint: Arc<SimulatedEndpoint>,
    /// The sidecar waits until then.
    pub until: Instant,
    pub connect_timeout: Duration,
    /// What the endpoint takes.
    pub service_time: Duration,
    pub reporting: Reporting,
}

/// A probe to be made.
pub(super) struct HealthCheck {
    pub endpoint: EndpointId,
    pub simulated: Arc<SimulatedEndpoint>,
    /// Which of the endpoint's processes it is meant for.
    pub started_at: Option<Timestamp>,
    pub connect_timeout: Duration,
    pub reporting: Reporting,
}

/// How an attempt or a probe ended.
pub(super) struct AttemptResult {
    pub outcome: Outcome,
    pub report: Option<LoadReport>,
}

impl AttemptResult {
    fn without_answer(outcome: Outcome) -> Self {
        AttemptResult {
            outcome,
            report: None,
        }
    }
}

/// Makes an attempt and tells the sidecar how it ended.
pub(super) async fn attempt(owner: impl AttemptOwner, fleet: Arc<FleetState>, attempt: Attempt) {
    let ending = attempt.answer(&fleet).await;
    owner.attempt_ended(&attempt.request, attempt.number, ending);
}

impl Attempt {
    async fn answer(&self, fleet: &FleetState) -> AttemptResult {
        let begun = Instant::now();
        if self.endpoint.is_unreachable() {
            sleep_until(self.until.min(begun + self.connect_timeout)).await;
            return AttemptResult::without_answer(Outcome::ConnectFailed);
        }
        fleet
            .endpoints
            .count_attempt(&self.endpoint, fleet.counters.second());
        let losses = self.endpoint.losses();
        let in_flight = self.endpoint.begin();
        let finished = begun + self.service_time;
        sleep_until(finished.min(self.until)).await;
        drop(in_flight);
        if finished > self.until || self.endpoint.losses() != losses {
            sleep_until(self.until).await;
            return AttemptResult::without_answer(Outcome::TimedOut);
        }
        let reports = self.reporting == Reporting::WithAnswers;
        AttemptResult {
            outcome: Outcome::Served,
            report: reports.then(|| self.endpoint.report()),
        }
    }
}

/// Makes a probe and tells the sidecar how it ended.
pub(super) async fn check_health(owner: impl AttemptOwner, check_health: HealthCheck) {
    let sent = Instant::now();
    let ending = check_health.answer().await;
    owner.health_check_ended(&check_health, sent.elapsed(), ending);
}

impl HealthCheck {
    async fn answer(&self) -> AttemptResult {
        if self.simulated.is_unreachable() {
            sleep(self.connect_timeout.min(HEALTH_CHECK_TIMEOUT)).await;
            return AttemptResult::without_answer(Outcome::ConnectFailed);
        }
        sleep(HEALTH_CHECK_ANSWER_TIME).await;
        let reports = self.reporting != Reporting::Off;
        AttemptResult {
            outcome: Outcome::Served,
            report: reports.then(|| self.simulated.report()),
        }
    }
}
