//! The cold ramp (slow start): how much of the traffic an endpoint gets until it is warm.
//!
//! Own sends are the clock of the ramp: of every `subset / capacity` sends one is for the cold member, at
//! random, so that instances of any number and quietness together stay at a fair share. A request that no
//! sound endpoint can take counts ahead of its send: else the clock would stand still.

use super::balancer::Balancer;
use super::endpoint::EndpointIndex;
use super::pending::PendingRequest;
use super::time::Timestamp;

/// Part of what makes a cold endpoint fall that it may be sent, at a fair share of its present capacity: the
/// rest is for chance. Less starved new servers while the old ones jammed.
const WARMING_FRACTION: f64 = 0.6;

impl Balancer {
    /// The part of a fair share that a cold endpoint may get; `None` once it is warm. When the limit ended
    /// early, all instances fell upon the one that was clear in a throttled tier.
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

    /// Whether it is warm, or its turn on the ramp has come.
    pub(super) fn slow_start_admits(&self, now: Timestamp, index: EndpointIndex) -> bool {
        let endpoint = &self.endpoints[index];
        self.slow_start_share(now, index).is_none()
            || endpoint.in_subset && self.slow_start_clock >= endpoint.slow_start_slot
    }

    /// The clock's reading at an endpoint's next turn, drawn at random.
    pub(super) fn draw_slow_start_slot(&mut self, now: Timestamp, index: EndpointIndex) -> f64 {
        let share = self.slow_start_share(now, index).unwrap_or(f64::INFINITY);
        self.slow_start_clock - (1.0 - self.random.unit()).ln() * self.subset.len() as f64 / share
    }

    /// Moves the clock on for a send, unless it was counted ahead.
    pub(super) fn advance_slow_start(&mut self, pending: &mut PendingRequest) {
        let was_counted = std::mem::take(&mut pending.has_advanced_slow_start);
        self.slow_start_clock += if was_counted { 0.0 } else { 1.0 };
    }

    /// Moves the clock on for a request that has nowhere to go, once.
    pub(super) fn advance_slow_start_early(&mut self, pending: &mut PendingRequest) {
        if !std::mem::replace(&mut pending.has_advanced_slow_start, true) {
            self.slow_start_clock += 1.0;
        }
    }
}
