//! The overload state of each endpoint: clear, gapping or discarding for each worth level, until it lapses.

use super::balancer::Balancer;
use super::endpoint::EndpointIndex;
use super::event::LoadReport;
use super::thresholds::{LevelsReached, MAX_DISCARD};
use super::time::{Timestamp, duration_from_seconds};
use std::time::Duration;

/// Busy part of an endpoint from which on it counts as queueing, up to the highest discard when fully busy.
const BUSY_UTILISATION: f64 = 0.9;
/// A state lapses after this many unloaded answer times: older news says little of the queue now.
const STATE_LIFETIME_MULTIPLE: f64 = 10.0;
/// The lapse is this part of its mean at least, and as much over it at most, so that instances part.
const MIN_LIFETIME_FACTOR: f64 = 0.75;
const LIFETIME_FACTOR_SPREAD: f64 = 0.5;
/// Weight of one judgement in the mean queue of an endpoint's kind.
const MEAN_QUEUE_LENGTH_WEIGHT: f64 = 0.1;
/// Part of an own attempt that counts as queue at an endpoint which calls further tiers: for most of the
/// answer time the request waits down there, and queues nowhere here.
const INNER_TIER_QUEUE_PER_ATTEMPT: f64 = 0.2;
/// What an own attempt counts for in the last of several tiers, where an instance's attempts are few among
/// those of all that share the endpoint.
const LAST_TIER_QUEUE_PER_ATTEMPT: f64 = 2.0;
/// The longest queue that a report is believed to mean.
const MAX_QUEUE_LENGTH: f64 = 1e6;
/// The lowest arrival rate that a gap is worked out for.
const MIN_ARRIVAL_RATE: f64 = 0.1;
/// A gap is this part of its mean at least, so that instances part.
const MIN_GAP_FACTOR: f64 = 0.5;

/// How many worth levels an endpoint throttles, from the lowest.
pub(super) struct ThrottledLevels {
    pub(super) gapping: usize,
    pub(super) discarding: usize,
}

impl Balancer {
    /// The queue length that a report speaks of, or the nearest stand-in. Guards against servers that work on
    /// all they hold: they hardly queue, but when fully busy the work unfinished piles up in them.
    pub(super) fn reported_queue_length(report: &LoadReport) -> f64 {
        let utilisation = report.utilisation.unwrap_or(1.0);
        let implied_queue_length = report
            .in_flight
            .map(|in_flight| (in_flight - 1.0) * utilisation);
        let busy_share = report.utilisation.map_or(0.0, |u| {
            (u.min(1.0) - BUSY_UTILISATION) / (1.0 - BUSY_UTILISATION)
        });
        let queue_length = report.queue_length.or(implied_queue_length).unwrap_or(0.0);
        queue_length
            .max(busy_share * MAX_DISCARD)
            .clamp(0.0, MAX_QUEUE_LENGTH)
    }

    /// Moves an endpoint between clear, gapping and discarding. Gapping starts at onset and ends below
    /// abatement, discarding starts at discard and ends below onset.
    pub(super) fn update_overload_state(
        &mut self,
        now: Timestamp,
        index: EndpointIndex,
        queue_length: f64,
    ) {
        let reached = self.thresholds.reached(queue_length);
        let lifetime = self.unloaded_time()
            * STATE_LIFETIME_MULTIPLE
            * (MIN_LIFETIME_FACTOR + LIFETIME_FACTOR_SPREAD * self.random.unit());
        self.mean_queue_lengths.count(
            self.endpoints[index].is_remote,
            queue_length,
            MEAN_QUEUE_LENGTH_WEIGHT,
        );
        let gap = self.gap(now, queue_length);
        let before = self.current_levels(now, index);
        let endpoint = &mut self.endpoints[index];
        endpoint.queue_length = queue_length;
        endpoint.gapping_levels = reached.onset.max(before.gapping.min(reached.abatement));
        endpoint.discarding_levels = reached.discard.max(before.discarding.min(reached.onset));
        endpoint.state_expires = now + duration_from_seconds(lifetime);
        if endpoint.gapping_levels > 0 {
            endpoint.gap_ends_at = endpoint.last_send + gap;
        }
    }

    /// Judges every endpoint anew by its last known queue, under thresholds that have changed.
    pub(super) fn reapply_thresholds(&mut self) {
        for endpoint in &mut self.endpoints {
            let LevelsReached { onset, discard, .. } =
                self.thresholds.reached(endpoint.queue_length);
            endpoint.gapping_levels = onset;
            endpoint.discarding_levels = discard;
        }
    }

    /// The least time between own sends to a gapping endpoint: the usual time, times the severity. It follows
    /// the instance's own rate, so that any number of instances together cut by the same factor.
    pub(super) fn gap(&mut self, now: Timestamp, queue_length: f64) -> Duration {
        let severity = (queue_length / self.thresholds.lowest_onset()).max(1.0);
        let usual =
            self.subset.len() as f64 / self.arrival_rate.per_second(now).max(MIN_ARRIVAL_RATE);
        duration_from_seconds(severity * usual * (MIN_GAP_FACTOR + self.random.unit()))
    }

    /// How many levels are throttled: by the last judgement and own attempts in flight, as reports come late
    /// and a flush of held requests would otherwise all go where the last was good. A lapsed state is the
    /// tier's mean: instances too quiet to follow one endpoint can follow all of them.
    pub(super) fn throttled_levels(&self, now: Timestamp, index: EndpointIndex) -> ThrottledLevels {
        let reached = self
            .thresholds
            .reached(self.estimated_queue_length(now, index));
        let current_levels = self.current_levels(now, index);
        ThrottledLevels {
            gapping: current_levels.gapping.max(reached.onset),
            discarding: current_levels.discarding.max(reached.discard),
        }
    }

    /// The queue at an endpoint with own attempts in flight.
    pub(super) fn estimated_queue_length(&self, now: Timestamp, index: EndpointIndex) -> f64 {
        let endpoint = &self.endpoints[index];
        let is_current = now < endpoint.state_expires;
        let current_levels = if is_current {
            endpoint.queue_length
        } else {
            self.mean_queue_lengths.of(endpoint.is_remote)
        };
        current_levels + self.queue_per_attempt() * f64::from(endpoint.in_flight)
    }

    /// The state as last judged, none once it has lapsed.
    fn current_levels(&self, now: Timestamp, index: EndpointIndex) -> ThrottledLevels {
        let endpoint = &self.endpoints[index];
        if now < endpoint.state_expires {
            ThrottledLevels {
                gapping: endpoint.gapping_levels,
                discarding: endpoint.discarding_levels,
            }
        } else {
            ThrottledLevels {
                gapping: 0,
                discarding: 0,
            }
        }
    }

    /// What an own attempt in flight counts for as queue at its endpoint.
    fn queue_per_attempt(&self) -> f64 {
        match (self.settings.tier, self.settings.tiers) {
            (tier, tiers) if tier + 1 < tiers => INNER_TIER_QUEUE_PER_ATTEMPT,
            (0, _) => 1.0,
            _ => LAST_TIER_QUEUE_PER_ATTEMPT,
        }
    }
}
