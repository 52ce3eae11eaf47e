//! Health checks of endpoints, sent within a budget if responses to requests carry no load reports.

use super::action::Action;
use super::balancer::Balancer;
use super::endpoint::EndpointIndex;
use super::event::{LoadReport, Outcome};
use super::id::EndpointId;
use super::settings::Reporting;
use super::time::Timestamp;
use std::time::Duration;

/// The number of health checks that a request adds to the budget. With one for each request, health checks displaced
/// requests in short queues.
const HEALTH_CHECKS_PER_REQUEST: f64 = 0.15;
/// The highest total cost of health checks, as a fraction of the result that [`Prices`](super::Prices) refers to.
const MAX_HEALTH_CHECK_COST: f64 = 0.03;
/// The lowest price by which the cost limit is divided; a lower price counts as this one.
const MIN_PRICE: f64 = 1e-6;
/// The least time between two health checks of an endpoint. Endpoints refresh their load reports about as often.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Balancer {
    /// Adds the share of one request to the health check budget. The share is zero if responses carry load reports, and
    /// small if health checks are costly.
    pub(super) fn earn_health_checks(&mut self) {
        let are_needed = self.settings.limits.health_checks
            && self.settings.reporting == Reporting::WithHealthChecks;
        let affordable = MAX_HEALTH_CHECK_COST / self.settings.prices.health_check.max(MIN_PRICE);
        self.budgets.health_checks.earn(if are_needed {
            HEALTH_CHECKS_PER_REQUEST.min(affordable)
        } else {
            0.0
        });
    }

    /// Sends health checks to subset members as far as the budget allows. The member that has been due for the longest
    /// time comes first.
    pub(super) fn send_health_checks(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        while self.budgets.health_checks.has_token() {
            let next_health_check =
                |index: &&EndpointIndex| self.endpoints[**index].next_health_check;
            let members = self.endpoint_sets.subset.iter();
            let due = members.filter(|index| now >= next_health_check(index));
            let Some(index) = due.min_by_key(next_health_check).copied() else {
                return;
            };
            self.budgets.health_checks.spend();
            let endpoint = &mut self.endpoints[index];
            endpoint.next_health_check = now + HEALTH_CHECK_INTERVAL;
            actions.push(Action::HealthCheck {
                endpoint: endpoint.id.clone(),
            });
        }
    }

    /// Updates an endpoint's overload state from a health check. A rejected or timed-out health check implies a queue.
    /// Otherwise only endpoints with short queues would update their states.
    pub(super) fn health_check_ended(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        outcome: Outcome,
        report: Option<&LoadReport>,
    ) {
        let Some(index) = self.endpoints.index_of(endpoint) else {
            return;
        };
        let reported = report.map(Self::reported_queue_length);
        let queue_length = reported.or_else(|| self.implied_queue_length(outcome));
        if let Some(queue_length) = queue_length {
            self.update_overload_state(now, index, queue_length);
        }
    }
}
