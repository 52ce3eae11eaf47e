//! The choice of an attempt's endpoint: the less loaded of two random members of the subset.

use super::answer_time::ORDINARY_SLOWDOWN;
use super::balancer::Balancer;
use super::endpoint::EndpointIndex;
use super::outlier::FailureLimit;
use super::pending::{PendingRequest, RetryScope};
use super::subset::MIN_SUBSET_SIZE;
use super::time::Timestamp;

/// The number of local endpoints that are sampled at random while the whole subset is throttled.
const LOCAL_SAMPLES: usize = 2 * MIN_SUBSET_SIZE;
/// The highest number of samples that become candidates.
const MAX_LOCAL_CANDIDATES: usize = 2;
/// The number of random candidates whose load is compared.
const RANDOM_CHOICES: usize = 2;

/// The criteria by which the endpoint of one attempt is picked.
struct PickCriteria<'a> {
    now: Timestamp,
    scope: &'a RetryScope,
    /// The request's priority level.
    level: usize,
    failure_limit: FailureLimit,
}

impl Balancer {
    /// Returns the endpoint that a request's next attempt goes to; `None` if the request has to wait.
    pub(super) fn pick(
        &mut self,
        now: Timestamp,
        pending: &mut PendingRequest,
        scope: &RetryScope,
    ) -> Option<EndpointIndex> {
        let class = pending.request.class.0;
        let criteria = PickCriteria {
            now,
            scope,
            level: pending.level,
            failure_limit: self.failure_limit(now, class),
        };
        let mut candidates = self.candidates(&criteria, pending);
        self.prefer_recent_unsafe_successes(now, class, &mut candidates);
        let first_send = candidates
            .iter()
            .find(|index| self.endpoints[**index].awaits_first_send);
        if let Some(index) = first_send {
            return Some(*index); // otherwise a balancer with few requests would stay with the fastest known endpoint
        }
        match candidates.len() {
            0 => self.endpoint_with_earliest_ended_gap(&criteria, pending),
            1 => Some(candidates[0]),
            _ => self.best_of_two_choices(now, candidates),
        }
    }

    /// Returns the endpoints that can take the request without waiting for the end of a gap. The candidates are subset
    /// members. If there are none, they are sampled local endpoints, then remote endpoints, then the endpoint with the
    /// lowest failure rate.
    fn candidates(
        &mut self,
        criteria: &PickCriteria<'_>,
        pending: &mut PendingRequest,
    ) -> Vec<EndpointIndex> {
        let mut candidates = self.eligible_subset_members(criteria, pending);
        if candidates.is_empty() {
            self.add_local_samples(criteria, pending, &mut candidates);
        }
        if candidates.is_empty() {
            candidates = self.clear_remote_members(criteria, pending);
        }
        if candidates.is_empty() && !self.is_any_healthy(criteria, pending) {
            candidates.extend(self.least_failing_unthrottled(criteria, pending));
            if candidates.is_empty() {
                self.advance_slow_start_early(pending);
            }
        }
        candidates
    }

    /// Returns whether an endpoint may be sent this request at all: slow start allows it, the retry scope contains it,
    /// and no earlier attempt was sent to it.
    fn is_usable(
        &self,
        criteria: &PickCriteria<'_>,
        pending: &PendingRequest,
        index: EndpointIndex,
    ) -> bool {
        self.slow_start_allows(criteria.now, index)
            && criteria.scope.contains(&self.endpoints[index])
            && pending
                .attempts
                .iter()
                .all(|attempt| attempt.endpoint != index)
    }

    /// Returns whether an endpoint is usable and not an outlier.
    fn is_healthy(
        &self,
        criteria: &PickCriteria<'_>,
        pending: &PendingRequest,
        index: EndpointIndex,
    ) -> bool {
        !self.is_outlier(criteria.now, index, &criteria.failure_limit)
            && self.is_usable(criteria, pending, index)
    }

    /// Returns whether an endpoint does not throttle the request's level.
    fn is_unthrottled(&self, criteria: &PickCriteria<'_>, index: EndpointIndex) -> bool {
        criteria.level >= self.throttled_levels(criteria.now, index).gapping
    }

    /// Returns whether an endpoint is healthy and does not throttle the request's level.
    fn is_eligible(
        &self,
        criteria: &PickCriteria<'_>,
        pending: &PendingRequest,
        index: EndpointIndex,
    ) -> bool {
        self.is_healthy(criteria, pending, index) && self.is_unthrottled(criteria, index)
    }

    fn eligible_subset_members(
        &self,
        criteria: &PickCriteria<'_>,
        pending: &PendingRequest,
    ) -> Vec<EndpointIndex> {
        let members = self.endpoint_sets.subset.iter().copied();
        members
            .filter(|index| self.is_eligible(criteria, pending, *index))
            .collect()
    }

    /// Adds random local endpoints as candidates while the whole subset is throttled. This is done only while the
    /// balancer has few attempts in flight for its share of the tier. Otherwise all balancers together would overload
    /// the whole tier.
    fn add_local_samples(
        &mut self,
        criteria: &PickCriteria<'_>,
        pending: &PendingRequest,
        candidates: &mut Vec<EndpointIndex>,
    ) {
        let own_load = f64::from(self.in_flight.count()) / self.fair_share_of_tier();
        let load_with_slowdown = own_load * self.mean_slowdown / ORDINARY_SLOWDOWN;
        // Without endpoints the load is NaN or infinite, and this is false.
        let is_below_limit = load_with_slowdown < self.thresholds.highest_onset();
        if !is_below_limit {
            return;
        }
        for _ in 0..LOCAL_SAMPLES {
            let sample = self.random.below(self.endpoint_sets.local.len());
            let Some(index) = self.endpoint_sets.local.get(sample).copied() else {
                continue;
            };
            if candidates.len() < MAX_LOCAL_CANDIDATES && self.is_eligible(criteria, pending, index)
            {
                candidates.push(index);
            }
        }
    }

    /// Returns the healthy endpoints of the remote subset that throttle no level. If new connections have a price, only
    /// one request at a time is sent to the remote subset, because a concurrent one needs another connection.
    fn clear_remote_members(
        &self,
        criteria: &PickCriteria<'_>,
        pending: &PendingRequest,
    ) -> Vec<EndpointIndex> {
        let members = || self.endpoint_sets.remote_subset.iter().copied();
        let connections_are_priced = self.settings.prices.handshake > 0.0;
        if connections_are_priced && members().any(|index| self.endpoints[index].in_flight > 0) {
            return Vec::new();
        }
        let is_clear = |index: &EndpointIndex| {
            self.is_healthy(criteria, pending, *index)
                && self.throttled_levels(criteria.now, *index).gapping == 0
        };
        members().filter(is_clear).collect()
    }

    fn is_any_healthy(&self, criteria: &PickCriteria<'_>, pending: &PendingRequest) -> bool {
        self.selectable_endpoints()
            .any(|index| self.is_healthy(criteria, pending, index))
    }

    /// Returns the usable, unthrottled endpoint with the lowest failure rate, for use if no endpoint is healthy.
    /// Otherwise a balancer whose whole subset is warming up or failing would send nothing, and slow start would never
    /// advance.
    fn least_failing_unthrottled(
        &self,
        criteria: &PickCriteria<'_>,
        pending: &PendingRequest,
    ) -> Option<EndpointIndex> {
        let unthrottled = self.selectable_endpoints().filter(|index| {
            self.is_usable(criteria, pending, *index) && self.is_unthrottled(criteria, *index)
        });
        self.least_failing(criteria.now, unthrottled, &criteria.failure_limit)
    }

    /// Returns all local endpoints and the remote subset.
    fn selectable_endpoints(&self) -> impl Iterator<Item = EndpointIndex> {
        let local = self.endpoint_sets.local.iter();
        local.chain(&self.endpoint_sets.remote_subset).copied()
    }

    /// Returns the gapping subset member whose gap ended first, for use while all members are throttled.
    fn endpoint_with_earliest_ended_gap(
        &self,
        criteria: &PickCriteria<'_>,
        pending: &PendingRequest,
    ) -> Option<EndpointIndex> {
        let gap_ends_at = |index: &EndpointIndex| self.endpoints[*index].gap_ends_at;
        let is_due = |index: &EndpointIndex| {
            self.is_usable(criteria, pending, *index)
                && gap_ends_at(index) <= criteria.now
                && criteria.level >= self.throttled_levels(criteria.now, *index).discarding
        };
        let members = self.endpoint_sets.subset.iter().copied();
        members.filter(is_due).min_by_key(gap_ends_at)
    }

    /// Returns the less loaded of two random candidates. If neither has attempts in flight, which is common at
    /// balancers with few requests, all candidates are compared.
    fn best_of_two_choices(
        &mut self,
        now: Timestamp,
        mut candidates: Vec<EndpointIndex>,
    ) -> Option<EndpointIndex> {
        let count = candidates.len();
        candidates.rotate_left(self.random.below(count));
        candidates.swap(1, 1 + self.random.below(count - 1));
        let are_idle = candidates[..RANDOM_CHOICES]
            .iter()
            .all(|index| self.endpoints[*index].in_flight == 0);
        let compared = if are_idle { count } else { RANDOM_CHOICES };
        candidates
            .into_iter()
            .take(compared)
            .reduce(|a, b| self.less_loaded(now, a, b))
    }

    /// Returns the endpoint with fewer attempts in flight relative to its weight. If both are equal, returns the one
    /// with the shorter estimated wait.
    fn less_loaded(&self, now: Timestamp, a: EndpointIndex, b: EndpointIndex) -> EndpointIndex {
        let load = |index: EndpointIndex| {
            f64::from(self.endpoints[index].in_flight + 1) / self.endpoints[index].weight
        };
        let wait = |index: EndpointIndex| {
            (self.estimated_queue_length(now, index) + 1.0) * self.endpoints[index].slowdown
        };
        let order = load(a)
            .total_cmp(&load(b))
            .then(wait(a).total_cmp(&wait(b)));
        if order.is_gt() { b } else { a }
    }
}
