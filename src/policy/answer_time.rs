//! How long answers take: usual times by class and cost hint, and the unloaded time of the tier.

use super::balancer::Balancer;
use super::endpoint::EndpointIndex;
use super::event::{AttemptEnd, Request};
use super::time::duration_from_seconds;
use std::time::Duration;

/// Usual answer time before any was seen, as a part of the objective.
pub(super) const INITIAL_ESTIMATE_FRACTION: f64 = 0.1;
/// Answers before a mean is believed.
pub(super) const MIN_ANSWERS: u32 = 12;
/// Answer time over the unloaded one that is ordinary load.
pub(super) const ORDINARY_SLOWDOWN: f64 = 1.3;
/// Weight of one answer in a class's usual time.
const ESTIMATE_WEIGHT: f64 = 0.05;
/// Weight of one answer in the mean whose least value is the unloaded time: the least of few is too low.
const UNLOADED_WEIGHT: f64 = 0.02;
/// Weight of one answer in an endpoint's mean stretch, and in the tier's.
const ENDPOINT_WEIGHT: f64 = 0.3;
const TIER_WEIGHT: f64 = 0.1;
/// The least that a request takes beside the mean of its class, however small its hint.
const MIN_RELATIVE_COST: f64 = 0.5;

impl Balancer {
    /// How long a request is expected to take.
    pub(super) fn expected_time(&self, request: &Request) -> Duration {
        duration_from_seconds(
            self.classes[request.class.0].estimated_time * self.relative_cost(request),
        )
    }

    /// How long a request takes beside the mean of its class, by its hint, as answer times went with hints so
    /// far: rough hints, taken at their word, had heavy requests refused on a quiet day.
    fn relative_cost(&self, request: &Request) -> f64 {
        let class = &self.classes[request.class.0];
        let is_known = class.answers >= MIN_ANSWERS && class.hints.mean_time > 0.0;
        let Some(hint) = request.cost_hint.filter(|_| is_known) else {
            return 1.0;
        };
        let deviation = hint.as_secs_f64() - class.hints.mean_hint;
        (1.0 + class.hints.slope() * deviation / class.hints.mean_time).max(MIN_RELATIVE_COST)
    }

    /// The least unloaded answer time in seconds, over the classes.
    pub(super) fn unloaded_time(&self) -> f64 {
        let measured = self
            .classes
            .iter()
            .filter(|c| c.unloaded_time > 0.0)
            .map(|c| c.unloaded_time);
        let objectives = self
            .settings
            .classes
            .iter()
            .map(|c| c.objective.as_secs_f64());
        let initial_estimates = objectives.map(|objective| objective * INITIAL_ESTIMATE_FRACTION);
        measured
            .min_by(f64::total_cmp)
            .or(initial_estimates.min_by(f64::total_cmp))
            .unwrap_or(1.0)
    }

    /// Learns from the time that an attempt took to be served.
    pub(super) fn record_answer_time(
        &mut self,
        index: EndpointIndex,
        request: &Request,
        ended: &AttemptEnd,
    ) {
        let took = ended.took.as_secs_f64();
        let time = took / self.relative_cost(request);
        let hint = request.cost_hint.unwrap_or_default().as_secs_f64();
        let class = &mut self.classes[request.class.0];
        class.answers = class.answers.saturating_add(1);
        let equal_weight = 1.0 / f64::from(class.answers);
        let estimate_weight = ESTIMATE_WEIGHT.max(equal_weight);
        let unloaded_weight = UNLOADED_WEIGHT.max(equal_weight);
        class
            .hints
            .count(hint, took, estimate_weight, unloaded_weight);
        class.estimated_time += (time - class.estimated_time) * estimate_weight;
        class.long_term_mean_time += (time - class.long_term_mean_time) * unloaded_weight;
        if class.answers < MIN_ANSWERS {
            return;
        }
        class.unloaded_time = if class.unloaded_time == 0.0 {
            class.long_term_mean_time
        } else {
            class.unloaded_time.min(class.long_term_mean_time)
        };
        let slowdown = time / class.unloaded_time;
        self.mean_slowdown += (slowdown - self.mean_slowdown) * TIER_WEIGHT;
        let endpoint = &mut self.endpoints[index];
        endpoint.slowdown += (slowdown - endpoint.slowdown) * ENDPOINT_WEIGHT;
    }
}
