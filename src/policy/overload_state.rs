//! The overload state of each endpoint: clear, gapping or discarding for each priority level, until it expires.

use super::balancer::Balancer;
use super::endpoint::EndpointIndex;
use super::event::LoadReport;
use super::thresholds::{LevelsReached, MAX_DISCARD_THRESHOLD};
use super::time::{Timestamp, duration_from_seconds};
use std::time::Duration;

/// The utilisation above which an endpoint counts as queueing. From there to full utilisation, the implied queue length
/// rises linearly from zero to the highest discard threshold.
const BUSY_UTILISATION: f64 = 0.9;
/// The mean lifetime of an overload state, as a multiple of the unloaded answer time. An older state says little about
/// the present queue.
const STATE_LIFETIME_MULTIPLE: f64 = 10.0;
/// The lowest random factor of the mean lifetime. Lifetimes are random to keep balancers from acting at the same time.
const MIN_LIFETIME_FACTOR: f64 = 0.75;
/// The difference between the highest and the lowest random factor of the mean lifetime.
const LIFETIME_FACTOR_SPREAD: f64 = 0.5;
/// The weight of one update in the mean queue length of a locality.
const MEAN_QUEUE_LENGTH_WEIGHT: f64 = 0.1;
/// The estimated queue length for each attempt in flight at an endpoint that calls further tiers. For most of the
/// answer time the request waits in those tiers, and not in the endpoint's queue.
const INNER_TIER_QUEUE_PER_ATTEMPT: f64 = 0.2;
/// The estimated queue length for each attempt in flight in the last of several tiers. Of all attempts at an endpoint
/// there, only few are this balancer's own, because many balancers share the endpoint.
const LAST_TIER_QUEUE_PER_ATTEMPT: f64 = 2.0;
/// The longest queue length that is accepted from a load report.
const MAX_QUEUE_LENGTH: f64 = 1e6;
/// The lowest arrival rate used to compute a gap, in requests per second.
const MIN_ARRIVAL_RATE: f64 = 0.1;
/// The lowest random factor of the mean gap. Gaps are random to keep balancers from acting at the same time.
const MIN_GAP_FACTOR: f64 = 0.5;

/// The numbers of priority levels that an endpoint throttles, counted from the lowest level.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ThrottledLevels {
    /// The number of levels for which it is gapping or discarding.
    pub(super) gapping: usize,
    /// The number of levels for which it is discarding.
    pub(super) discarding: usize,
}

impl Balancer {
    /// Returns the queue length of a load report, or an estimate from its other values. Servers that process all
    /// requests concurrently hardly queue; for them, a high utilisation counts as a queue.
    pub(super) fn reported_queue_length(report: &LoadReport) -> f64 {
        let utilisation = report.utilisation.unwrap_or(1.0);
        let from_in_flight = report
            .in_flight
            .map(|in_flight| (in_flight - 1.0) * utilisation);
        let busy_fraction = report.utilisation.map_or(0.0, |utilisation| {
            (utilisation.min(1.0) - BUSY_UTILISATION) / (1.0 - BUSY_UTILISATION)
        });
        let queue_length = report.queue_length.or(from_in_flight).unwrap_or(0.0);
        queue_length
            .max(busy_fraction * MAX_DISCARD_THRESHOLD)
            .clamp(0.0, MAX_QUEUE_LENGTH)
    }

    /// Moves an endpoint between clear, gapping and discarding. Gapping starts at the onset threshold and ends below
    /// the abatement threshold; discarding starts at the discard threshold and ends below the onset threshold.
    pub(super) fn update_overload_state(
        &mut self,
        now: Timestamp,
        index: EndpointIndex,
        queue_length: f64,
    ) {
        let reached = self.thresholds.reached(queue_length);
        let lifetime = self.unloaded_time()
            * STATE_LIFETIME_MULTIPLE
            * (MIN_LIFETIME_FACTOR + LIFETIME_FACTOR_SPREAD * self.random.unit_interval());
        let locality = self.endpoints[index].locality;
        self.mean_queue_lengths
            .add(locality, queue_length, MEAN_QUEUE_LENGTH_WEIGHT);
        let gap = self.gap(now, queue_length);
        let previous = self.current_levels(now, index);
        let endpoint = &mut self.endpoints[index];
        endpoint.queue_length = queue_length;
        endpoint.gapping_levels = reached.onset.max(previous.gapping.min(reached.abatement));
        endpoint.discarding_levels = reached.discard.max(previous.discarding.min(reached.onset));
        endpoint.state_expires_at = now + duration_from_seconds(lifetime);
        if endpoint.gapping_levels > 0 {
            endpoint.gap_ends_at = endpoint.last_send + gap;
        }
    }

    /// Determines the state of every endpoint again from its last queue length, after the thresholds have changed.
    pub(super) fn reapply_thresholds(&mut self) {
        for endpoint in self.endpoints.iter_mut() {
            let LevelsReached { onset, discard, .. } =
                self.thresholds.reached(endpoint.queue_length);
            endpoint.gapping_levels = onset;
            endpoint.discarding_levels = discard;
        }
    }

    /// Returns the least time between sends to a gapping endpoint: the usual time between sends times the severity of
    /// the overload. The gap is derived from this balancer's own arrival rate, and thus all balancers reduce their load
    /// by the same factor.
    pub(super) fn gap(&mut self, now: Timestamp, queue_length: f64) -> Duration {
        let severity = (queue_length / self.thresholds.lowest_onset()).max(1.0);
        let arrival_rate = self.arrival_rate.per_second(now).max(MIN_ARRIVAL_RATE);
        let usual_gap = self.endpoint_sets.subset.len() as f64 / arrival_rate;
        duration_from_seconds(severity * usual_gap * (MIN_GAP_FACTOR + self.random.unit_interval()))
    }

    /// Returns how many levels an endpoint throttles, by its overload state and its estimated queue length. The
    /// estimate includes attempts in flight because load reports come late; without them, all queued requests would be
    /// sent to the endpoint that was last clear. For an expired state, the estimate uses the mean queue length of the
    /// endpoint's locality. A balancer with few requests can keep that mean up to date, but not the state of each
    /// endpoint.
    pub(super) fn throttled_levels(&self, now: Timestamp, index: EndpointIndex) -> ThrottledLevels {
        let estimated = self.estimated_queue_length(now, index);
        let reached = self.thresholds.reached(estimated);
        let current = self.current_levels(now, index);
        ThrottledLevels {
            gapping: current.gapping.max(reached.onset),
            discarding: current.discarding.max(reached.discard),
        }
    }

    /// Returns the estimated queue length at an endpoint, including this balancer's attempts in flight.
    pub(super) fn estimated_queue_length(&self, now: Timestamp, index: EndpointIndex) -> f64 {
        let endpoint = &self.endpoints[index];
        let queue_length = if now < endpoint.state_expires_at {
            endpoint.queue_length
        } else {
            self.mean_queue_lengths.of(endpoint.locality)
        };
        queue_length + self.queue_per_attempt() * f64::from(endpoint.in_flight)
    }

    /// Returns the levels that the present overload state throttles; none once it has expired.
    fn current_levels(&self, now: Timestamp, index: EndpointIndex) -> ThrottledLevels {
        let endpoint = &self.endpoints[index];
        if now >= endpoint.state_expires_at {
            return ThrottledLevels::default();
        }
        ThrottledLevels {
            gapping: endpoint.gapping_levels,
            discarding: endpoint.discarding_levels,
        }
    }

    /// Returns the estimated queue length for each attempt in flight.
    fn queue_per_attempt(&self) -> f64 {
        match (self.settings.tier, self.settings.tiers) {
            (tier, tiers) if tier + 1 < tiers => INNER_TIER_QUEUE_PER_ATTEMPT,
            (0, _) => 1.0,
            _ => LAST_TIER_QUEUE_PER_ATTEMPT,
        }
    }
}
