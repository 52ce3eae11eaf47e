//! Probes of endpoints whose queues no answer tells of, and what they may cost.

use super::action::Action;
use super::balancer::Balancer;
use super::event::{LoadReport, Outcome};
use super::id::EndpointId;
use super::settings::Reporting;
use super::time::Timestamp;
use std::time::Duration;

/// Probes that a request pays for. With one a request they took the requests' places in short queues.
const HEALTH_CHECKS_PER_REQUEST: f64 = 0.15;
/// How many may be saved up.
pub(super) const MAX_SAVED_HEALTH_CHECKS: f64 = 4.0;
/// The part of the result that they may cost.
const MAX_SPENDING_FRACTION: f64 = 0.03;
/// The least price that the limit is divided by.
const MIN_PRICE: f64 = 1e-6;
/// Least time between two probes of an endpoint: its report is refreshed about as often.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Balancer {
    /// Counts what a request pays for: nothing where answers bring reports, and little where probes are dear.
    pub(super) fn earn_health_checks(&mut self) {
        let are_needed = self.settings.limits.health_checks
            && self.settings.reporting == Reporting::WithHealthChecks;
        let affordable = MAX_SPENDING_FRACTION / self.settings.prices.health_check.max(MIN_PRICE);
        self.health_check_budget.earn(if are_needed {
            HEALTH_CHECKS_PER_REQUEST.min(affordable)
        } else {
            0.0
        });
    }

    /// Probes subset members, the longest unheard of first, as far as the budget goes.
    pub(super) fn send_health_checks(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        while self.health_check_budget.has_token() {
            let next_health_check = |index: &&usize| self.endpoints[**index].next_health_check;
            let due = self
                .subset
                .iter()
                .filter(|index| now >= next_health_check(index));
            let Some(index) = due.min_by_key(next_health_check).copied() else {
                return;
            };
            self.health_check_budget.spend();
            let endpoint = &mut self.endpoints[index];
            endpoint.next_health_check = now + HEALTH_CHECK_INTERVAL;
            actions.push(Action::HealthCheck {
                endpoint: endpoint.id.clone(),
            });
        }
    }

    /// Learns what a probe says of its endpoint: one rejected or not answered in time met a queue. Guards
    /// against hearing none but those that have room.
    pub(super) fn health_check_ended(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        outcome: Outcome,
        report: Option<&LoadReport>,
    ) {
        let Some(index) = self.indices_by_id.get(endpoint).copied() else {
            return;
        };
        let implies_queue = matches!(outcome, Outcome::TimedOut | Outcome::Rejected);
        let implied_queue_length = implies_queue.then_some(self.thresholds.highest_onset());
        if let Some(queue_length) = report
            .map(Self::reported_queue_length)
            .or(implied_queue_length)
        {
            self.update_overload_state(now, index, queue_length);
        }
    }
}
