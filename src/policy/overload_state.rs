//! The overload state of each endpoint: clear, gapping or discarding for each worth level, until it lapses.

use super::balancer::Balancer;
use super::endpoint::EndpointIndex;
use super::event::LoadReport;
use super::thresholds::{HIGHEST_DISCARD, LevelsReached};
use super::time::{Timestamp, duration_from_seconds};
use std::time::Duration;

/// Busy part of an endpoint from which on it counts as queueing, up to the highest discard when fully busy.
const BUSY: f64 = 0.9;
/// A state lapses after this many unloaded answer times: older news says little of the queue now.
const LAPSE_TIMES: f64 = 10.0;
/// The lapse is this part of its mean at least, and as much over it at most, so that instances part.
const SHORTEST_LAPSE: f64 = 0.75;
const LAPSE_SPREAD: f64 = 0.5;
/// Weight of one judgement in the mean queue of an endpoint's kind.
const MEAN_WEIGHT: f64 = 0.1;
/// Part of an own attempt that counts as queue at an endpoint which calls further tiers: for most of the
/// answer time the request waits down there, and queues nowhere here.
const ATTEMPT_IN_INNER_TIER: f64 = 0.2;
/// What an own attempt counts for in the last of several tiers, where an instance's attempts are few among
/// those of all that share the endpoint.
const ATTEMPT_IN_LAST_TIER: f64 = 2.0;
/// The longest queue that a report is believed to mean.
const LONGEST_QUEUE: f64 = 1e6;
/// The lowest arrival rate that a gap is worked out for.
const LEAST_RATE: f64 = 0.1;
/// A gap is this part of its mean at least, so that instances part.
const SHORTEST_GAP: f64 = 0.5;

/// How many worth levels an endpoint throttles, from the lowest.
pub(super) struct Throttling {
    pub(super) gapping: usize,
    pub(super) discarding: usize,
}

impl Balancer {
    /// The queue length that a report speaks of, or the nearest stand-in. Guards against servers that work on
    /// all they hold: they hardly queue, but when fully busy the work unfinished piles up in them.
    pub(super) fn reported_queue_length(report: &LoadReport) -> f64 {
        let utilisation = report.utilisation.unwrap_or(1.0);
        let stand_in = report
            .in_flight
            .map(|in_flight| (in_flight - 1.0) * utilisation);
        let busy_share = report
            .utilisation
            .map_or(0.0, |u| (u.min(1.0) - BUSY) / (1.0 - BUSY));
        let queue_length = report.queue_length.or(stand_in).unwrap_or(0.0);
        queue_length
            .max(busy_share * HIGHEST_DISCARD)
            .clamp(0.0, LONGEST_QUEUE)
    }

    /// Moves an endpoint between clear, gapping and discarding. Gapping starts at onset and ends below
    /// abatement, discarding starts at discard and ends below onset.
    pub(super) fn judge(&mut self, now: Timestamp, e: EndpointIndex, queue_length: f64) {
        let reached = self.thresholds.reached(queue_length);
        let lapse = self.unloaded_time()
            * LAPSE_TIMES
            * (SHORTEST_LAPSE + LAPSE_SPREAD * self.random.unit());
        self.mean_queue_lengths
            .count(self.endpoints[e].is_remote, queue_length, MEAN_WEIGHT);
        let gap = self.gap(now, queue_length);
        let before = self.judged(now, e);
        let known = &mut self.endpoints[e];
        known.queue_length = queue_length;
        known.gapping_levels = reached.onset.max(before.gapping.min(reached.abatement));
        known.discarding_levels = reached.discard.max(before.discarding.min(reached.onset));
        known.state_expires = now + duration_from_seconds(lapse);
        if known.gapping_levels > 0 {
            known.gap_ends_at = known.last_send + gap;
        }
    }

    /// Judges every endpoint anew by its last known queue, under thresholds that have changed.
    pub(super) fn judge_by_new_thresholds(&mut self) {
        for known in &mut self.endpoints {
            let LevelsReached { onset, discard, .. } = self.thresholds.reached(known.queue_length);
            known.gapping_levels = onset;
            known.discarding_levels = discard;
        }
    }

    /// The least time between own sends to a gapping endpoint: the usual time, times the severity. It follows
    /// the instance's own rate, so that any number of instances together cut by the same factor.
    pub(super) fn gap(&mut self, now: Timestamp, queue_length: f64) -> Duration {
        let severity = (queue_length / self.thresholds.lowest_onset()).max(1.0);
        let usual = self.subset.len() as f64 / self.arrival_rate.per_second(now).max(LEAST_RATE);
        duration_from_seconds(severity * usual * (SHORTEST_GAP + self.random.unit()))
    }

    /// How many levels are throttled: by the last judgement and own attempts in flight, as reports come late
    /// and a flush of held requests would otherwise all go where the last was good. A lapsed state is the
    /// tier's mean: instances too quiet to follow one endpoint can follow all of them.
    pub(super) fn throttling(&self, now: Timestamp, e: EndpointIndex) -> Throttling {
        let reached = self.thresholds.reached(self.estimated_queue_length(now, e));
        let judged = self.judged(now, e);
        Throttling {
            gapping: judged.gapping.max(reached.onset),
            discarding: judged.discarding.max(reached.discard),
        }
    }

    /// The queue at an endpoint with own attempts in flight.
    pub(super) fn estimated_queue_length(&self, now: Timestamp, e: EndpointIndex) -> f64 {
        let known = &self.endpoints[e];
        let is_current = now < known.state_expires;
        let judged = if is_current {
            known.queue_length
        } else {
            self.mean_queue_lengths.of(known.is_remote)
        };
        judged + self.queue_per_attempt() * f64::from(known.in_flight)
    }

    /// The state as last judged, none once it has lapsed.
    fn judged(&self, now: Timestamp, e: EndpointIndex) -> Throttling {
        let known = &self.endpoints[e];
        if now < known.state_expires {
            Throttling {
                gapping: known.gapping_levels,
                discarding: known.discarding_levels,
            }
        } else {
            Throttling {
                gapping: 0,
                discarding: 0,
            }
        }
    }

    /// What an own attempt in flight counts for as queue at its endpoint.
    fn queue_per_attempt(&self) -> f64 {
        match (self.settings.tier, self.settings.tiers) {
            (tier, tiers) if tier + 1 < tiers => ATTEMPT_IN_INNER_TIER,
            (0, _) => 1.0,
            _ => ATTEMPT_IN_LAST_TIER,
        }
    }
}
