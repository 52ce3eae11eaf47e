//! Which endpoint an attempt goes to: two draws from the subset, of which the less loaded wins.

use super::answer_time::ORDINARY_SLOWDOWN;
use super::balancer::Balancer;
use super::endpoint::EndpointIndex;
use super::outlier::FailureLimit;
use super::pending::{PendingRequest, RetryScope};
use super::subset::MIN_SUBSET_SIZE;
use super::time::Timestamp;

/// Random draws over the zone where all of the subset is throttled, and how many of them are kept.
const LOCAL_SAMPLES: usize = 2 * MIN_SUBSET_SIZE;
const MAX_LOCAL_CANDIDATES: usize = 2;
/// Endpoints that are compared, where own attempts tell them apart.
const CHOICES: usize = 2;

/// What one pick looks for.
struct Search<'a> {
    now: Timestamp,
    scope: &'a RetryScope,
    /// The request's worth level.
    level: usize,
    failure_limit: FailureLimit,
}

impl Balancer {
    /// The endpoint that a request's next attempt goes to; `None` where it has to wait.
    pub(super) fn pick(
        &mut self,
        now: Timestamp,
        pending: &mut PendingRequest,
        scope: &RetryScope,
    ) -> Option<EndpointIndex> {
        let class = pending.request.class.0;
        let search = Search {
            now,
            scope,
            level: pending.level,
            failure_limit: self.failure_limit(now, class),
        };
        let mut candidates = self.eligible_subset_members(&search, pending);
        if candidates.is_empty() {
            self.add_local_samples(&search, pending, &mut candidates);
        }
        if candidates.is_empty() {
            candidates = self.clear_remote_members(&search, pending);
        }
        if candidates.is_empty() && !self.is_any_healthy(&search, pending) {
            candidates.extend(self.least_failing_unthrottled(&search, pending));
            if candidates.is_empty() {
                self.advance_slow_start_early(pending);
            }
        }
        self.prefer_recent_unsafe_servers(now, class, &mut candidates);
        if let Some(index) = candidates
            .iter()
            .find(|index| self.endpoints[**index].awaits_first_send)
        {
            return Some(*index); // a quiet instance would go on with the one that it knows as quickest
        }
        match candidates.len() {
            0 => self.earliest_ended_gap(&search, pending),
            1 => Some(candidates[0]),
            _ => self.best_of_two_choices(now, candidates),
        }
    }

    /// Whether an endpoint may be sent this request at all: warm or due, in scope, and not tried before.
    fn is_usable(
        &self,
        search: &Search<'_>,
        pending: &PendingRequest,
        index: EndpointIndex,
    ) -> bool {
        self.slow_start_admits(search.now, index)
            && search.scope.allows(&self.endpoints[index])
            && pending.attempts.iter().all(|a| a.endpoint != index)
    }

    /// Whether it is usable and no outlier.
    fn is_healthy(
        &self,
        search: &Search<'_>,
        pending: &PendingRequest,
        index: EndpointIndex,
    ) -> bool {
        !self.is_outlier(search.now, index, &search.failure_limit)
            && self.is_usable(search, pending, index)
    }

    /// Whether it throttles no request of this level.
    fn is_unthrottled(&self, now: Timestamp, index: EndpointIndex, level: usize) -> bool {
        level >= self.throttled_levels(now, index).gapping
    }

    fn is_eligible(
        &self,
        search: &Search<'_>,
        pending: &PendingRequest,
        index: EndpointIndex,
    ) -> bool {
        self.is_healthy(search, pending, index)
            && self.is_unthrottled(search.now, index, search.level)
    }

    fn eligible_subset_members(
        &self,
        search: &Search<'_>,
        pending: &PendingRequest,
    ) -> Vec<EndpointIndex> {
        let members = self.subset.iter().copied();
        members
            .filter(|index| self.is_eligible(search, pending, *index))
            .collect()
    }

    /// With all of the subset throttled, requests spill over the zone by random draws, while few own attempts
    /// are in flight for the instance's part of the tier: else all instances overdrive all of it.
    fn add_local_samples(
        &mut self,
        search: &Search<'_>,
        pending: &PendingRequest,
        candidates: &mut Vec<EndpointIndex>,
    ) {
        let own_load = f64::from(self.attempts_in_flight) / self.fair_share_of_tier();
        let is_below_limit =
            own_load * self.mean_slowdown / ORDINARY_SLOWDOWN < self.thresholds.highest_onset();
        if !is_below_limit {
            return;
        }
        for _ in 0..LOCAL_SAMPLES {
            let Some(index) = self.local.get(self.random.below(self.local.len())).copied() else {
                continue;
            };
            if candidates.len() < MAX_LOCAL_CANDIDATES && self.is_eligible(search, pending, index) {
                candidates.push(index);
            }
        }
    }

    /// Then they spill into other zones, where no level is throttled. One that spills there beside another
    /// opens a connection: one at a time where those have a price.
    fn clear_remote_members(
        &self,
        search: &Search<'_>,
        pending: &PendingRequest,
    ) -> Vec<EndpointIndex> {
        let members = || self.remote_subset.iter().copied();
        let connections_are_priced = self.settings.prices.handshake > 0.0;
        if connections_are_priced && members().any(|index| self.endpoints[index].in_flight > 0) {
            return Vec::new();
        }
        let is_clear = |index: &EndpointIndex| {
            self.is_healthy(search, pending, *index)
                && self.throttled_levels(search.now, *index).gapping == 0
        };
        members().filter(is_clear).collect()
    }

    fn is_any_healthy(&self, search: &Search<'_>, pending: &PendingRequest) -> bool {
        self.local
            .iter()
            .chain(&self.remote_subset)
            .any(|index| self.is_healthy(search, pending, *index))
    }

    /// With nobody sound to wait for, the one that fails least: else an instance whose subset is cold, or
    /// fails as all do, sends nothing at all, and no cold one's turn ever comes.
    fn least_failing_unthrottled(
        &self,
        search: &Search<'_>,
        pending: &PendingRequest,
    ) -> Option<EndpointIndex> {
        let reachable = self.local.iter().chain(&self.remote_subset).copied();
        let unthrottled = reachable.filter(|index| {
            self.is_usable(search, pending, *index)
                && self.is_unthrottled(search.now, *index, search.level)
        });
        self.least_failing(search.now, unthrottled, &search.failure_limit)
    }

    /// With all throttled, the earliest gap among the gapping members that is over.
    fn earliest_ended_gap(
        &self,
        search: &Search<'_>,
        pending: &PendingRequest,
    ) -> Option<EndpointIndex> {
        let gap_ends_at = |index: &EndpointIndex| self.endpoints[*index].gap_ends_at;
        let is_due = |index: &EndpointIndex| {
            self.is_usable(search, pending, *index)
                && gap_ends_at(index) <= search.now
                && search.level >= self.throttled_levels(search.now, *index).discarding
        };
        self.subset
            .iter()
            .copied()
            .filter(is_due)
            .min_by_key(gap_ends_at)
    }

    /// The better of two random candidates. Where none of the two has own attempts in flight they say
    /// nothing: so quiet an instance compares all queues that it knows.
    fn best_of_two_choices(
        &mut self,
        now: Timestamp,
        mut candidates: Vec<EndpointIndex>,
    ) -> Option<EndpointIndex> {
        let count = candidates.len();
        candidates.rotate_left(self.random.below(count));
        candidates.swap(1, 1 + self.random.below(count - 1));
        let are_idle = candidates[..CHOICES]
            .iter()
            .all(|index| self.endpoints[*index].in_flight == 0);
        let compared = if are_idle { count } else { CHOICES };
        candidates
            .into_iter()
            .take(compared)
            .reduce(|a, b| self.less_loaded(now, a, b))
    }

    /// The one with fewer own attempts in flight for its size, then the one with the shorter queue at its
    /// pace.
    fn less_loaded(&self, now: Timestamp, a: EndpointIndex, b: EndpointIndex) -> EndpointIndex {
        let load = |index: EndpointIndex| {
            f64::from(self.endpoints[index].in_flight + 1) / self.endpoints[index].size
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
