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
const COLD_PART: f64 = 0.6;

impl Balancer {
    /// The part of a fair share that a cold endpoint may get; `None` once it is warm. When the limit ended
    /// early, all instances fell upon the one that was clear in a throttled tier.
    pub(super) fn cold_share(&self, now: Timestamp, e: EndpointIndex) -> Option<f64> {
        let known = &self.endpoints[e];
        let rules = &self.settings.rules;
        let age = now.since(known.started_at.max(known.enabled_at)?);
        if age >= rules.warm_within {
            return None;
        }
        let warmed = (1.0 - rules.cold_from) * age.as_secs_f64() / rules.warm_within.as_secs_f64();
        let capacity = rules.cold_from + warmed;
        Some(capacity * rules.fall_multiple * COLD_PART)
    }

    /// Whether it is warm, or its turn on the ramp has come.
    pub(super) fn is_warm_or_due(&self, now: Timestamp, e: EndpointIndex) -> bool {
        let known = &self.endpoints[e];
        self.cold_share(now, e).is_none() || known.in_subset && self.cold_clock >= known.cold_turn
    }

    /// The clock's reading at an endpoint's next turn, drawn at random.
    pub(super) fn next_cold_turn(&mut self, now: Timestamp, e: EndpointIndex) -> f64 {
        let share = self.cold_share(now, e).unwrap_or(f64::INFINITY);
        self.cold_clock - (1.0 - self.random.unit()).ln() * self.subset.len() as f64 / share
    }

    /// Moves the clock on for a send, unless it was counted ahead.
    pub(super) fn count_send(&mut self, pending: &mut PendingRequest) {
        let was_counted = std::mem::take(&mut pending.is_counted_ahead);
        self.cold_clock += if was_counted { 0.0 } else { 1.0 };
    }

    /// Moves the clock on for a request that has nowhere to go, once.
    pub(super) fn count_send_ahead(&mut self, pending: &mut PendingRequest) {
        if !std::mem::replace(&mut pending.is_counted_ahead, true) {
            self.cold_clock += 1.0;
        }
    }
}
