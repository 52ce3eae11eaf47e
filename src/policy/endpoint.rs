//! The state that a balancer keeps for each endpoint. No decision is made here.

use super::event::{EndpointEntry, Readiness};
use super::id::{EndpointId, GroupId, ZoneId};
use super::time::Timestamp;
use std::time::Duration;

/// An endpoint's index in the balancer's [table](super::endpoint_table::EndpointTable).
pub(super) type EndpointIndex = usize;

/// The locality of an endpoint, as seen from the balancer's zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Locality {
    /// It is in the balancer's zone, or requests across zones cost little.
    Local,
    /// It is in another zone, and requests across zones are costly.
    Remote,
}

/// One endpoint, listed or with attempts still in flight.
#[derive(Debug)]
pub(super) struct Endpoint {
    pub(super) id: EndpointId,
    pub(super) zone: ZoneId,
    pub(super) group: GroupId,
    /// Its weight in the list, or 1 if that is not above 0.
    pub(super) weight: f64,
    /// It takes work: the list shows it as serving, and it is neither disabled nor suspended.
    pub(super) is_available: bool,
    /// The list shows it as serving.
    pub(super) is_serving: bool,
    /// The list shows it as draining, or last showed it as draining before it was removed.
    pub(super) is_draining: bool,
    /// The list names it.
    pub(super) is_listed: bool,
    pub(super) started_at: Option<Timestamp>,
    /// The time at which the end of its process was last noticed, while the list still names that process.
    pub(super) process_ended_at: Option<Timestamp>,
    /// The list was overdue, and no connection proved that the listed process still runs.
    pub(super) is_process_unknown: bool,
    /// It is sent nothing, because its process has ended or is unknown and the list may be outdated.
    pub(super) is_suspended: bool,
    /// The time at which the operators last enabled it. It may have restarted while it was disabled, which the list
    /// shows only later.
    pub(super) enabled_at: Option<Timestamp>,
    /// It was enabled and has been sent nothing since. The next request that it can take is sent to it.
    pub(super) awaits_first_send: bool,
    pub(super) in_subset: bool,
    pub(super) locality: Locality,
    /// This balancer's attempts in flight there.
    pub(super) in_flight: u32,
    /// The queue length at the last update of the overload state.
    pub(super) queue_length: f64,
    /// The mean slowdown: answer times as a multiple of the unloaded answer time.
    pub(super) slowdown: f64,
    /// The number of priority levels, from the lowest, for which it is gapping or discarding.
    pub(super) gapping_levels: usize,
    /// The number of priority levels, from the lowest, for which it is discarding.
    pub(super) discarding_levels: usize,
    /// The time at which the overload state expires.
    pub(super) state_expires_at: Timestamp,
    pub(super) last_send: Timestamp,
    /// The time at which the gap after the last send ends.
    pub(super) gap_ends_at: Timestamp,
    /// The value of the slow start clock at which it may be sent its next request while it is warming up.
    pub(super) slow_start_slot: f64,
    /// The earliest time of the next health check.
    pub(super) next_health_check: Timestamp,
    /// The recent failure rate of each class.
    pub(super) failures: Vec<FailureRate>,
    /// The time at which it last served an unsafe request; `None` if an unsafe request has failed there since.
    pub(super) unsafe_served_at: Option<Timestamp>,
}

impl Endpoint {
    /// Creates an endpoint that is clear and healthy, and takes no work yet.
    pub(super) fn new(entry: &EndpointEntry, class_count: usize) -> Self {
        Endpoint {
            id: entry.endpoint.clone(),
            zone: entry.zone.clone(),
            group: entry.group,
            weight: 1.0,
            is_available: false,
            is_serving: false,
            is_draining: false,
            is_listed: false,
            started_at: entry.started_at,
            process_ended_at: None,
            is_process_unknown: false,
            is_suspended: false,
            enabled_at: None,
            awaits_first_send: false,
            in_subset: false,
            locality: Locality::Local,
            in_flight: 0,
            queue_length: 0.0,
            slowdown: 1.0,
            gapping_levels: 0,
            discarding_levels: 0,
            state_expires_at: Timestamp::default(),
            last_send: Timestamp::default(),
            gap_ends_at: Timestamp::default(),
            slow_start_slot: f64::INFINITY,
            next_health_check: Timestamp::default(),
            failures: vec![FailureRate::default(); class_count],
            unsafe_served_at: None,
        }
    }

    /// Applies an entry of an endpoint list. The availability of the endpoint has to be updated afterwards.
    pub(super) fn apply_entry(&mut self, entry: &EndpointEntry) {
        self.is_listed = entry.readiness != Readiness::Removed;
        self.weight = if entry.weight > 0.0 {
            entry.weight
        } else {
            1.0
        };
        self.is_serving = entry.readiness == Readiness::Serving;
        // A draining endpoint that was removed from the list still finishes its work.
        let was_draining = self.is_draining || entry.readiness == Readiness::Draining;
        self.is_draining = !self.is_serving && was_draining;
        if self.started_at != entry.started_at {
            self.reset_process_state(entry.started_at);
        }
    }

    /// Marks it as absent from a full list.
    pub(super) fn mark_unlisted(&mut self) {
        self.is_available = false;
        self.is_serving = false;
        self.is_listed = false;
    }

    /// Resets the state that belongs to the previous process, such as its throttled levels, slowdown and failures.
    pub(super) fn reset_process_state(&mut self, started_at: Option<Timestamp>) {
        self.started_at = started_at;
        self.process_ended_at = None;
        self.is_process_unknown = false;
        self.is_suspended = false;
        self.gapping_levels = 0;
        self.discarding_levels = 0;
        self.slowdown = 1.0;
        self.failures.fill(FailureRate::default());
        self.unsafe_served_at = None;
        self.slow_start_slot = f64::INFINITY;
    }

    /// Returns whether its process has ended or is unknown.
    pub(super) fn has_ended_or_unknown_process(&self) -> bool {
        self.process_ended_at.is_some() || self.is_process_unknown
    }

    /// Returns the recent failure rate of a class, or the highest rate of all classes if none is given.
    pub(super) fn failure_rate(
        &self,
        class: Option<usize>,
        now: Timestamp,
        time_constant: Duration,
    ) -> f64 {
        let rate_of = |failures: &FailureRate| failures.at(now, time_constant);
        match class {
            Some(class) => self.failures.get(class).map_or(0.0, rate_of),
            None => self.failures.iter().map(rate_of).fold(0.0, f64::max),
        }
    }

    /// Resets the failures of a class, which may be new.
    pub(super) fn reset_failures(&mut self, class: usize) {
        if class >= self.failures.len() {
            self.failures.resize(class + 1, FailureRate::default());
        }
        self.failures[class] = FailureRate::default();
    }
}

/// The recent fraction of a class's attempts that failed at an endpoint. It decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailureRate {
    rate: f64,
    updated_at: Timestamp,
}

impl FailureRate {
    /// Returns the rate after exponential decay with a time constant.
    fn at(&self, now: Timestamp, time_constant: Duration) -> f64 {
        if self.rate == 0.0 {
            return 0.0;
        }
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.rate * (-elapsed / time_constant.as_secs_f64()).exp()
    }

    /// Adds the result of one attempt, with its weight in the mean.
    pub(super) fn add(
        &mut self,
        now: Timestamp,
        has_failed: bool,
        weight: f64,
        time_constant: Duration,
    ) {
        let decayed = self.at(now, time_constant);
        let sample = f64::from(u8::from(has_failed));
        self.rate = decayed + (sample - decayed) * weight;
        self.updated_at = now;
    }
}
