//! Slow start: the fraction of its fair share of requests that an endpoint is sent while it is warming up.
//!
//! The slow start clock counts the balancer's own sends. On average, one of `subset size / fraction` sends goes to the
//! warming endpoint, at random. The endpoint thus gets its fraction from all balancers together, whatever their number
//! and their request rates are. A request that no healthy endpoint can take is counted before it is sent; otherwise the
//! clock would not advance.

use super::balancer::Balancer;
use super::endpoint::EndpointIndex;
use super::pending::PendingRequest;
use super::time::Timestamp;

/// The fraction of the overload multiple that a warming endpoint is sent; the rest is a margin for random variation.
/// With a lower fraction, new endpoints stayed idle while the old ones were overloaded.
const WARMING_FRACTION: f64 = 0.6;

impl Balancer {
    /// Returns the fraction of a fair share that a warming endpoint may be sent; `None` once it is warm. The limit
    /// applies during the whole warm-up. When it ended earlier, all balancers of an overloaded tier sent their requests
    /// to the only clear endpoint.
    pub(super) fn slow_start_share(&self, now: Timestamp, index: EndpointIndex) -> Option<f64> {
        let endpoint = &self.endpoints[index];
        let rules = &self.settings.rules;
        let age = now.since(endpoint.started_at.max(endpoint.enabled_at)?);
        if age >= rules.warm_up_time {
            return None;
        }
        let warmed =
            (1.0 - rules.initial_capacity) * age.as_secs_f64() / rules.warm_up_time.as_secs_f64();
        let capacity = rules.initial_capacity + warmed;
        Some(capacity * rules.overload_multiple * WARMING_FRACTION)
    }

    /// Returns whether slow start lets this endpoint take a request now: it is warm, or the clock has reached its slot.
    pub(super) fn slow_start_allows(&self, now: Timestamp, index: EndpointIndex) -> bool {
        let endpoint = &self.endpoints[index];
        self.slow_start_share(now, index).is_none()
            || endpoint.in_subset && self.slow_start_clock >= endpoint.slow_start_slot
    }

    /// Draws an endpoint's next slot, at an exponentially distributed distance from the present value of the clock.
    pub(super) fn draw_slow_start_slot(&mut self, now: Timestamp, index: EndpointIndex) -> f64 {
        let share = self.slow_start_share(now, index).unwrap_or(f64::INFINITY);
        let unit_exponential = -(1.0 - self.random.unit_interval()).ln();
        self.slow_start_clock + unit_exponential * self.endpoint_sets.subset.len() as f64 / share
    }

    /// Advances the clock for a send, unless the request was counted early.
    pub(super) fn advance_slow_start(&mut self, pending: &mut PendingRequest) {
        let was_counted = std::mem::take(&mut pending.has_advanced_slow_start);
        self.slow_start_clock += if was_counted { 0.0 } else { 1.0 };
    }

    /// Advances the clock before the send of a request that no endpoint can take. Counts each such request only once.
    pub(super) fn advance_slow_start_early(&mut self, pending: &mut PendingRequest) {
        if !std::mem::replace(&mut pending.has_advanced_slow_start, true) {
            self.slow_start_clock += 1.0;
        }
    }
}
