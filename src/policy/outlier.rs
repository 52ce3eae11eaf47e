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
const FAILURE_FADE: Duration = Duration::from_secs(20);
/// Endpoints unheard of that the others' mean counts in.
const UNHEARD: usize = 2;
/// Weight of one answer in an endpoint's failures.
const ANSWER_WEIGHT: f64 = 0.3;
/// Endpoints that requests which must not run twice stay with, and for how long after one was served there.
const MAX_PROVEN: usize = 2;
const PROVEN_FOR: Duration = Duration::from_secs(5);

/// The failures that count for a request, and how many an endpoint may have.
pub(super) struct FailureBar {
    /// The class whose failures count; all where the request must not run twice.
    class: Option<usize>,
    most: f64,
}

impl Balancer {
    /// The bar for requests of a class. Guards against servers that fail fast, refuse connections or say
    /// nothing, be it for one class only: they hold few requests and no queue. They are judged against the
    /// others, as errors and time-outs also come from the tier below.
    pub(super) fn failure_bar(&self, now: Timestamp, class: usize) -> FailureBar {
        let class = (!self.is_unsafe(class)).then_some(class);
        let failures: f64 = self
            .subset
            .iter()
            .map(|e| self.failures(now, *e, class))
            .sum();
        FailureBar {
            class,
            most: failures / (self.subset.len() + UNHEARD) as f64 + FAILURE_MARGIN,
        }
    }

    pub(super) fn is_unsafe(&self, class: usize) -> bool {
        self.settings.classes[class].idempotency == Idempotency::Unsafe
    }

    fn failures(&self, now: Timestamp, e: EndpointIndex, class: Option<usize>) -> f64 {
        self.endpoints[e].failure_share(class, now, FAILURE_FADE)
    }

    /// Whether an endpoint fails too much for requests with this bar.
    pub(super) fn is_outlier(&self, now: Timestamp, e: EndpointIndex, bar: &FailureBar) -> bool {
        self.failures(now, e, bar.class) > bar.most
    }

    /// Of some endpoints the one that fails least.
    pub(super) fn least_failing(
        &self,
        now: Timestamp,
        candidates: impl Iterator<Item = EndpointIndex>,
        bar: &FailureBar,
    ) -> Option<EndpointIndex> {
        let failures = |e: &EndpointIndex| self.failures(now, *e, bar.class);
        candidates.min_by(|a, b| failures(a).total_cmp(&failures(b)))
    }

    /// Keeps those few that have served a request that must not run twice last, where such requests were lost
    /// lately. Each endpoint costs each instance one to find out, and nothing else may show it.
    pub(super) fn keep_proven(
        &self,
        now: Timestamp,
        class: usize,
        candidates: &mut Vec<EndpointIndex>,
    ) {
        let lost_lately = self
            .unsafe_lost_at
            .is_some_and(|at| now.since(at) < FAILURE_FADE);
        let is_last_tier = self.settings.tier + 1 >= self.settings.tiers;
        let clear = self
            .subset
            .iter()
            .filter(|e| self.throttling(now, **e).gapping == 0)
            .count();
        let is_tier_clear = 2 * clear > self.subset.len();
        if !self.is_unsafe(class) || !lost_lately || !is_last_tier || !is_tier_clear {
            return;
        }
        let served_lately = |e: &EndpointIndex| {
            self.endpoints[*e]
                .unsafe_served_at
                .filter(|at| now.since(*at) < PROVEN_FOR)
        };
        let mut proven: Vec<_> = candidates
            .iter()
            .filter_map(|e| Some((served_lately(e)?, *e)))
            .collect();
        proven.sort_unstable_by_key(|(served_at, _)| Reverse(*served_at));
        if !proven.is_empty() {
            *candidates = proven
                .into_iter()
                .take(MAX_PROVEN)
                .map(|(_, e)| e)
                .collect();
        }
    }

    /// Counts an attempt's end for or against its endpoint.
    pub(super) fn count_failure(
        &mut self,
        now: Timestamp,
        e: EndpointIndex,
        request: &Request,
        ended: &AttemptEnd,
    ) {
        if ended.outcome == Outcome::Rejected {
            return;
        }
        let has_failed = ended.outcome != Outcome::Served;
        if self.is_unsafe(request.class.0) {
            self.endpoints[e].unsafe_served_at = (!has_failed).then_some(now);
            if has_failed && !ended.outcome.proves_not_run() {
                self.unsafe_lost_at = Some(now);
            }
        }
        let failures = &mut self.endpoints[e].failures[request.class.0];
        failures.count(now, has_failed, ANSWER_WEIGHT, FAILURE_FADE);
    }
}
