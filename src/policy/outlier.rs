//! Outlier detection: endpoints that fail more than others, and those that serve what others lose.

use super::balancer::Balancer;
use super::endpoint::EndpointIndex;
use super::event::{AttemptEnd, Outcome, Request};
use super::settings::Idempotency;
use super::time::Timestamp;
use std::cmp::Reverse;
use std::time::Duration;

/// How much more of a class than others an endpoint may fail.
const FAILURE_MARGIN: f64 = 0.2;
/// The time in which a failure is forgotten but for a third: then the endpoint is tried again.
const FAILURE_TIME_CONSTANT: Duration = Duration::from_secs(20);
/// Endpoints unheard of that the others' mean counts in.
const ASSUMED_HEALTHY_ENDPOINTS: usize = 2;
/// Weight of one answer in an endpoint's failures.
const FAILURE_WEIGHT: f64 = 0.3;
/// Endpoints that requests which must not run twice stay with, and for how long after one was served there.
const MAX_PREFERRED: usize = 2;
const UNSAFE_SUCCESS_LIFETIME: Duration = Duration::from_secs(5);

/// The failures that count for a request, and how many an endpoint may have.
pub(super) struct FailureLimit {
    /// The class whose failures count; all where the request must not run twice.
    class: Option<usize>,
    most: f64,
}

impl Balancer {
    /// The bar for requests of a class. Guards against servers that fail fast, refuse connections or say
    /// nothing, be it for one class only: they hold few requests and no queue. They are judged against the
    /// others, as errors and time-outs also come from the tier below.
    pub(super) fn failure_limit(&self, now: Timestamp, class: usize) -> FailureLimit {
        let class = (!self.is_unsafe(class)).then_some(class);
        let failures: f64 = self
            .subset
            .iter()
            .map(|index| self.failures(now, *index, class))
            .sum();
        FailureLimit {
            class,
            most: failures / (self.subset.len() + ASSUMED_HEALTHY_ENDPOINTS) as f64
                + FAILURE_MARGIN,
        }
    }

    pub(super) fn is_unsafe(&self, class: usize) -> bool {
        self.settings.classes[class].idempotency == Idempotency::Unsafe
    }

    fn failures(&self, now: Timestamp, index: EndpointIndex, class: Option<usize>) -> f64 {
        self.endpoints[index].failure_share(class, now, FAILURE_TIME_CONSTANT)
    }

    /// Whether an endpoint fails too much for requests with this bar.
    pub(super) fn is_outlier(
        &self,
        now: Timestamp,
        index: EndpointIndex,
        failure_limit: &FailureLimit,
    ) -> bool {
        self.failures(now, index, failure_limit.class) > failure_limit.most
    }

    /// Of some endpoints the one that fails least.
    pub(super) fn least_failing(
        &self,
        now: Timestamp,
        candidates: impl Iterator<Item = EndpointIndex>,
        failure_limit: &FailureLimit,
    ) -> Option<EndpointIndex> {
        let failures = |index: &EndpointIndex| self.failures(now, *index, failure_limit.class);
        candidates.min_by(|a, b| failures(a).total_cmp(&failures(b)))
    }

    /// Keeps those few that have served a request that must not run twice last, where such requests were lost
    /// lately. Each endpoint costs each instance one to find out, and nothing else may show it.
    pub(super) fn prefer_recent_unsafe_servers(
        &self,
        now: Timestamp,
        class: usize,
        candidates: &mut Vec<EndpointIndex>,
    ) {
        let lost_lately = self
            .last_unsafe_loss
            .is_some_and(|at| now.since(at) < FAILURE_TIME_CONSTANT);
        let is_last_tier = self.settings.tier + 1 >= self.settings.tiers;
        let clear = self
            .subset
            .iter()
            .filter(|index| self.throttled_levels(now, **index).gapping == 0)
            .count();
        let is_tier_clear = 2 * clear > self.subset.len();
        if !self.is_unsafe(class) || !lost_lately || !is_last_tier || !is_tier_clear {
            return;
        }
        let served_lately = |index: &EndpointIndex| {
            self.endpoints[*index]
                .unsafe_served_at
                .filter(|at| now.since(*at) < UNSAFE_SUCCESS_LIFETIME)
        };
        let mut proven: Vec<_> = candidates
            .iter()
            .filter_map(|index| Some((served_lately(index)?, *index)))
            .collect();
        proven.sort_unstable_by_key(|(served_at, _)| Reverse(*served_at));
        if !proven.is_empty() {
            *candidates = proven
                .into_iter()
                .take(MAX_PREFERRED)
                .map(|(_, index)| index)
                .collect();
        }
    }

    /// Counts an attempt's end for or against its endpoint.
    pub(super) fn count_failure(
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
        failures.count(now, has_failed, FAILURE_WEIGHT, FAILURE_TIME_CONSTANT);
    }
}
