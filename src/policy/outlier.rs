//! Outlier detection: endpoints that fail more than others are excluded, and endpoints that serve unsafe requests while
//! others lose them are preferred.

use super::balancer::Balancer;
use super::class_settings::Idempotency;
use super::endpoint::EndpointIndex;
use super::event::{AttemptEnd, Outcome, Request};
use super::time::Timestamp;
use std::cmp::Reverse;
use std::time::Duration;

/// The margin by which an endpoint's failure rate may exceed the mean of the subset.
const FAILURE_MARGIN: f64 = 0.2;
/// The time constant with which failure rates decay. After about this time, an outlier is tried again.
const FAILURE_TIME_CONSTANT: Duration = Duration::from_secs(20);
/// The number of endpoints without failures that are added to the subset for the calculation of its mean failure rate.
const ASSUMED_HEALTHY_ENDPOINTS: usize = 2;
/// The weight of one attempt in an endpoint's failure rate.
const FAILURE_WEIGHT: f64 = 0.3;
/// The highest number of endpoints that are preferred for unsafe requests.
const MAX_PREFERRED_ENDPOINTS: usize = 2;
/// The time for which an endpoint is preferred after it served an unsafe request.
const UNSAFE_SUCCESS_LIFETIME: Duration = Duration::from_secs(5);

/// The highest failure rate of endpoints that may be sent a request.
pub(super) struct FailureLimit {
    /// The class whose failures count; `None` for unsafe requests, for which the class with the highest failure rate
    /// counts.
    class: Option<usize>,
    max_rate: f64,
}

impl Balancer {
    /// Returns the failure limit for requests of a class. It excludes endpoints that fail quickly, refuse connections
    /// or do not answer, possibly for one class alone. Such endpoints have few requests and no queue, and would
    /// otherwise appear unloaded. The limit is relative to the mean of the subset because errors and timeouts may also
    /// come from the next tier.
    pub(super) fn failure_limit(&self, now: Timestamp, class: usize) -> FailureLimit {
        let class = (!self.is_unsafe(class)).then_some(class);
        let members = self.endpoint_sets.subset.iter();
        let sum: f64 = members
            .map(|index| self.failure_rate(now, *index, class))
            .sum();
        let mean = sum / (self.endpoint_sets.subset.len() + ASSUMED_HEALTHY_ENDPOINTS) as f64;
        FailureLimit {
            class,
            max_rate: mean + FAILURE_MARGIN,
        }
    }

    /// Returns whether requests of a class must not run twice.
    fn is_unsafe(&self, class: usize) -> bool {
        self.settings.classes[class].idempotency == Idempotency::Unsafe
    }

    fn failure_rate(&self, now: Timestamp, index: EndpointIndex, class: Option<usize>) -> f64 {
        self.endpoints[index].failure_rate(class, now, FAILURE_TIME_CONSTANT)
    }

    /// Returns whether an endpoint's failure rate exceeds the limit.
    pub(super) fn is_outlier(
        &self,
        now: Timestamp,
        index: EndpointIndex,
        limit: &FailureLimit,
    ) -> bool {
        self.failure_rate(now, index, limit.class) > limit.max_rate
    }

    /// Returns the candidate with the lowest failure rate.
    pub(super) fn least_failing(
        &self,
        now: Timestamp,
        candidates: impl Iterator<Item = EndpointIndex>,
        limit: &FailureLimit,
    ) -> Option<EndpointIndex> {
        let rate = |index: &EndpointIndex| self.failure_rate(now, *index, limit.class);
        candidates.min_by(|a, b| rate(a).total_cmp(&rate(b)))
    }

    /// Restricts the candidates for an unsafe request to the few endpoints that served one most recently, if an unsafe
    /// request was lost recently. Applies only in the last tier and while most of the subset is clear. Without this
    /// rule, each balancer would lose one request at each faulty endpoint, because the fault may not show in any other
    /// way.
    pub(super) fn prefer_recent_unsafe_successes(
        &self,
        now: Timestamp,
        class: usize,
        candidates: &mut Vec<EndpointIndex>,
    ) {
        let was_lost_recently = self
            .last_unsafe_loss
            .is_some_and(|at| now.since(at) < FAILURE_TIME_CONSTANT);
        let is_last_tier = self.settings.tier + 1 >= self.settings.tiers;
        if !self.is_unsafe(class)
            || !was_lost_recently
            || !is_last_tier
            || !self.is_most_of_subset_clear(now)
        {
            return;
        }
        let served_at = |index: &EndpointIndex| {
            self.endpoints[*index]
                .unsafe_served_at
                .filter(|at| now.since(*at) < UNSAFE_SUCCESS_LIFETIME)
        };
        let mut preferred: Vec<_> = candidates
            .iter()
            .filter_map(|index| Some((served_at(index)?, *index)))
            .collect();
        preferred.sort_unstable_by_key(|(served_at, _)| Reverse(*served_at));
        if !preferred.is_empty() {
            *candidates = preferred
                .into_iter()
                .take(MAX_PREFERRED_ENDPOINTS)
                .map(|(_, index)| index)
                .collect();
        }
    }

    fn is_most_of_subset_clear(&self, now: Timestamp) -> bool {
        let members = self.endpoint_sets.subset.iter();
        let clear = members
            .filter(|index| self.throttled_levels(now, **index).gapping == 0)
            .count();
        2 * clear > self.endpoint_sets.subset.len()
    }

    /// Updates an endpoint's failure rate after the end of an attempt, and records whether an unsafe request was served
    /// or lost. Rejections do not count.
    pub(super) fn update_failure_rate(
        &mut self,
        now: Timestamp,
        index: EndpointIndex,
        request: &Request,
        ended: &AttemptEnd,
    ) {
        if ended.outcome == Outcome::Rejected {
            return;
        }
        let has_failed = ended.outcome != Outcome::Served;
        if self.is_unsafe(request.class.0) {
            self.endpoints[index].unsafe_served_at = (!has_failed).then_some(now);
            if has_failed && !ended.outcome.proves_not_run() {
                self.last_unsafe_loss = Some(now);
            }
        }
        let failures = &mut self.endpoints[index].failures[request.class.0];
        failures.add(now, has_failed, FAILURE_WEIGHT, FAILURE_TIME_CONSTANT);
    }
}
