//! Which endpoint an attempt goes to: two draws from the subset, of which the less loaded wins.

use super::answer_time::ORDINARY_SLOWDOWN;
use super::balancer::Balancer;
use super::endpoint::EndpointIndex;
use super::outlier::FailureBar;
use super::pending::{PendingRequest, RetryScope};
use super::subset::SMALLEST_SUBSET;
use super::time::Timestamp;

/// Random draws over the zone where all of the subset is throttled, and how many of them are kept.
const LOCAL_DRAWS: usize = 2 * SMALLEST_SUBSET;
const LOCAL_DRAWS_KEPT: usize = 2;
/// Endpoints that are compared, where own attempts tell them apart.
const COMPARED: usize = 2;

/// What one pick looks for.
struct Search<'a> {
    now: Timestamp,
    scope: &'a RetryScope,
    /// The request's worth level.
    level: usize,
    bar: FailureBar,
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
            bar: self.failure_bar(now, class),
        };
        let mut candidates = self.open_subset_members(&search, pending);
        if candidates.is_empty() {
            self.add_local_draws(&search, pending, &mut candidates);
        }
        if candidates.is_empty() {
            candidates = self.open_remote_members(&search, pending);
        }
        if candidates.is_empty() && !self.is_any_sound(&search, pending) {
            candidates.extend(self.least_failing_open(&search, pending));
            if candidates.is_empty() {
                self.advance_slow_start_early(pending);
            }
        }
        self.keep_proven(now, class, &mut candidates);
        if let Some(e) = candidates
            .iter()
            .find(|e| self.endpoints[**e].awaits_first_send)
        {
            return Some(*e); // a quiet instance would go on with the one that it knows as quickest
        }
        match candidates.len() {
            0 => self.earliest_gap(&search, pending),
            1 => Some(candidates[0]),
            _ => self.best_of_two_draws(now, candidates),
        }
    }

    /// Whether an endpoint may be sent this request at all: warm or due, in scope, and not tried before.
    fn is_usable(&self, search: &Search<'_>, pending: &PendingRequest, e: EndpointIndex) -> bool {
        self.slow_start_admits(search.now, e)
            && search.scope.admits(&self.endpoints[e])
            && pending.attempts.iter().all(|a| a.endpoint != e)
    }

    /// Whether it is usable and no outlier.
    fn is_sound(&self, search: &Search<'_>, pending: &PendingRequest, e: EndpointIndex) -> bool {
        !self.is_outlier(search.now, e, &search.bar) && self.is_usable(search, pending, e)
    }

    /// Whether it throttles no request of this level.
    fn is_open(&self, now: Timestamp, e: EndpointIndex, level: usize) -> bool {
        level >= self.throttling(now, e).gapping
    }

    fn is_sound_and_open(
        &self,
        search: &Search<'_>,
        pending: &PendingRequest,
        e: EndpointIndex,
    ) -> bool {
        self.is_sound(search, pending, e) && self.is_open(search.now, e, search.level)
    }

    fn open_subset_members(
        &self,
        search: &Search<'_>,
        pending: &PendingRequest,
    ) -> Vec<EndpointIndex> {
        let members = self.subset.iter().copied();
        members
            .filter(|e| self.is_sound_and_open(search, pending, *e))
            .collect()
    }

    /// With all of the subset throttled, requests spill over the zone by random draws, while few own attempts
    /// are in flight for the instance's part of the tier: else all instances overdrive all of it.
    fn add_local_draws(
        &mut self,
        search: &Search<'_>,
        pending: &PendingRequest,
        candidates: &mut Vec<EndpointIndex>,
    ) {
        let own_load = f64::from(self.attempts_in_flight) / self.fair_share_of_tier();
        let has_room =
            own_load * self.mean_slowdown / ORDINARY_SLOWDOWN < self.thresholds.highest_onset();
        if !has_room {
            return;
        }
        for _ in 0..LOCAL_DRAWS {
            let Some(e) = self.local.get(self.random.below(self.local.len())).copied() else {
                continue;
            };
            if candidates.len() < LOCAL_DRAWS_KEPT && self.is_sound_and_open(search, pending, e) {
                candidates.push(e);
            }
        }
    }

    /// Then they spill into other zones, where no level is throttled. One that spills there beside another
    /// opens a connection: one at a time where those have a price.
    fn open_remote_members(
        &self,
        search: &Search<'_>,
        pending: &PendingRequest,
    ) -> Vec<EndpointIndex> {
        let members = || self.remote_subset.iter().copied();
        let connections_are_priced = self.settings.prices.handshake > 0.0;
        if connections_are_priced && members().any(|e| self.endpoints[e].in_flight > 0) {
            return Vec::new();
        }
        let is_clear = |e: &EndpointIndex| {
            self.is_sound(search, pending, *e) && self.throttling(search.now, *e).gapping == 0
        };
        members().filter(is_clear).collect()
    }

    fn is_any_sound(&self, search: &Search<'_>, pending: &PendingRequest) -> bool {
        self.local
            .iter()
            .chain(&self.remote_subset)
            .any(|e| self.is_sound(search, pending, *e))
    }

    /// With nobody sound to wait for, the one that fails least: else an instance whose subset is cold, or
    /// fails as all do, sends nothing at all, and no cold one's turn ever comes.
    fn least_failing_open(
        &self,
        search: &Search<'_>,
        pending: &PendingRequest,
    ) -> Option<EndpointIndex> {
        let all = self.local.iter().chain(&self.remote_subset).copied();
        let open = all.filter(|e| {
            self.is_usable(search, pending, *e) && self.is_open(search.now, *e, search.level)
        });
        self.least_failing(search.now, open, &search.bar)
    }

    /// With all throttled, the earliest gap among the gapping members that is over.
    fn earliest_gap(&self, search: &Search<'_>, pending: &PendingRequest) -> Option<EndpointIndex> {
        let gap_ends_at = |e: &EndpointIndex| self.endpoints[*e].gap_ends_at;
        let is_due = |e: &EndpointIndex| {
            self.is_usable(search, pending, *e)
                && gap_ends_at(e) <= search.now
                && search.level >= self.throttling(search.now, *e).discarding
        };
        self.subset
            .iter()
            .copied()
            .filter(is_due)
            .min_by_key(gap_ends_at)
    }

    /// The better of two random candidates. Where none of the two has own attempts in flight they say
    /// nothing: so quiet an instance compares all queues that it knows.
    fn best_of_two_draws(
        &mut self,
        now: Timestamp,
        mut candidates: Vec<EndpointIndex>,
    ) -> Option<EndpointIndex> {
        let count = candidates.len();
        candidates.rotate_left(self.random.below(count));
        candidates.swap(1, 1 + self.random.below(count - 1));
        let are_idle = candidates[..COMPARED]
            .iter()
            .all(|e| self.endpoints[*e].in_flight == 0);
        let compared = if are_idle { count } else { COMPARED };
        candidates
            .into_iter()
            .take(compared)
            .reduce(|a, b| self.less_loaded(now, a, b))
    }

    /// The one with fewer own attempts in flight for its size, then the one with the shorter queue at its
    /// pace.
    fn less_loaded(&self, now: Timestamp, a: EndpointIndex, b: EndpointIndex) -> EndpointIndex {
        let load =
            |e: EndpointIndex| f64::from(self.endpoints[e].in_flight + 1) / self.endpoints[e].size;
        let wait = |e: EndpointIndex| {
            (self.estimated_queue_length(now, e) + 1.0) * self.endpoints[e].slowdown
        };
        let order = load(a)
            .total_cmp(&load(b))
            .then(wait(a).total_cmp(&wait(b)));
        if order.is_gt() { b } else { a }
    }
}
