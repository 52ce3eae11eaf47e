//! Estimates of answer times by class and cost hint, and the unloaded time of the tier.

use super::balancer::Balancer;
use super::class::INITIAL_ESTIMATE_FRACTION;
use super::endpoint::EndpointIndex;
use super::event::{AttemptEnd, Request};
use super::time::duration_from_seconds;
use std::time::Duration;

/// The least number of samples for the use of a mean or a rate.
pub(super) const MIN_SAMPLES: u32 = 12;
/// The slowdown at ordinary load. A slowdown is an answer time as a multiple of the unloaded answer time.
pub(super) const ORDINARY_SLOWDOWN: f64 = 1.3;
/// The weight of one answer in a class's answer time estimate.
const ESTIMATE_WEIGHT: f64 = 0.05;
/// The weight of one answer in the mean whose minimum is the unloaded time. With a higher weight, the mean would cover
/// few answers and its minimum would be too low.
const UNLOADED_TIME_WEIGHT: f64 = 0.02;
/// The weight of one answer in an endpoint's mean slowdown.
const ENDPOINT_SLOWDOWN_WEIGHT: f64 = 0.3;
/// The weight of one answer in the tier's mean slowdown.
const TIER_SLOWDOWN_WEIGHT: f64 = 0.1;
/// The lowest cost of a request relative to the mean of its class, regardless of its hint.
const MIN_RELATIVE_COST: f64 = 0.5;

impl Balancer {
    /// Returns how long a request is expected to take.
    pub(super) fn expected_time(&self, request: &Request) -> Duration {
        duration_from_seconds(
            self.classes[request.class.0].estimated_time * self.relative_cost(request),
        )
    }

    /// Returns a request's cost relative to the mean of its class, by a regression of answer times on hints. When rough
    /// hints were used without this scaling, expensive requests were rejected without any overload.
    fn relative_cost(&self, request: &Request) -> f64 {
        let class = &self.classes[request.class.0];
        let is_measured = class.answers >= MIN_SAMPLES && class.hints.mean_time > 0.0;
        let Some(hint) = request.cost_hint.filter(|_| is_measured) else {
            return 1.0;
        };
        let deviation = hint.as_secs_f64() - class.hints.mean_hint;
        (1.0 + class.hints.slope() * deviation / class.hints.mean_time).max(MIN_RELATIVE_COST)
    }

    /// Returns the shortest unloaded answer time of all classes, in seconds. Before any is known, returns the shortest
    /// initial estimate.
    pub(super) fn unloaded_time(&self) -> f64 {
        let measured = self
            .classes
            .iter()
            .filter(|class| class.unloaded_time > 0.0)
            .map(|class| class.unloaded_time);
        let classes = self.settings.classes.iter();
        let initial_estimates =
            classes.map(|class| class.objective.as_secs_f64() * INITIAL_ESTIMATE_FRACTION);
        measured
            .min_by(f64::total_cmp)
            .or(initial_estimates.min_by(f64::total_cmp))
            .unwrap_or(1.0)
    }

    /// Updates estimates and slowdowns with the time of a served attempt.
    pub(super) fn record_answer_time(
        &mut self,
        index: EndpointIndex,
        request: &Request,
        ended: &AttemptEnd,
    ) {
        let answer_time = ended.elapsed.as_secs_f64();
        let time_at_mean_cost = answer_time / self.relative_cost(request);
        let hint = request.cost_hint.unwrap_or_default().as_secs_f64();
        let class = &mut self.classes[request.class.0];
        class.answers = class.answers.saturating_add(1);
        let equal_weight = 1.0 / f64::from(class.answers);
        let estimate_weight = ESTIMATE_WEIGHT.max(equal_weight);
        let unloaded_weight = UNLOADED_TIME_WEIGHT.max(equal_weight);
        class
            .hints
            .add(hint, answer_time, estimate_weight, unloaded_weight);
        class.estimated_time += (time_at_mean_cost - class.estimated_time) * estimate_weight;
        class.long_term_mean_time +=
            (time_at_mean_cost - class.long_term_mean_time) * unloaded_weight;
        if class.answers < MIN_SAMPLES {
            return;
        }
        class.unloaded_time = if class.unloaded_time == 0.0 {
            class.long_term_mean_time
        } else {
            class.unloaded_time.min(class.long_term_mean_time)
        };
        let slowdown = time_at_mean_cost / class.unloaded_time;
        self.mean_slowdown += (slowdown - self.mean_slowdown) * TIER_SLOWDOWN_WEIGHT;
        let endpoint = &mut self.endpoints[index];
        endpoint.slowdown += (slowdown - endpoint.slowdown) * ENDPOINT_SLOWDOWN_WEIGHT;
    }
}
