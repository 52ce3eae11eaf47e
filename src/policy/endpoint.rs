//! What an instance keeps of each endpoint. No decision is made here.

use super::event::EndpointEntry;
use super::id::{EndpointId, GroupId, ZoneId};
use super::time::Timestamp;
use std::time::Duration;

/// An endpoint's place in the instance's table.
pub(super) type EndpointIndex = usize;

/// One endpoint, listed or with attempts still in flight.
pub(super) struct Endpoint {
    pub(super) id: EndpointId,
    pub(super) zone: ZoneId,
    pub(super) group: GroupId,
    pub(super) size: f64,
    /// It takes work, by the list and by the operators.
    pub(super) is_available: bool,
    /// It takes work, by the list alone.
    pub(super) is_serving: bool,
    pub(super) is_draining: bool,
    /// The list names it.
    pub(super) is_listed: bool,
    pub(super) started_at: Option<Timestamp>,
    /// When the operators last enabled it: it may have restarted meanwhile, and the list tells of that late.
    pub(super) enabled_at: Option<Timestamp>,
    /// It gets its first send as soon as it can take one.
    pub(super) awaits_first_send: bool,
    pub(super) in_subset: bool,
    /// It is in another zone, and crossing zones is priced.
    pub(super) is_remote: bool,
    /// Own attempts.
    pub(super) in_flight: u32,
    /// Queue length as last judged.
    pub(super) queue_length: f64,
    /// Answer time over the least usual one, a mean.
    pub(super) slowdown: f64,
    /// Worth levels that are held to the gap, from the lowest.
    pub(super) gapping_levels: usize,
    /// Worth levels that are discarded, from the lowest.
    pub(super) discarding_levels: usize,
    /// When the judged state lapses.
    pub(super) state_expires: Timestamp,
    pub(super) last_send: Timestamp,
    /// When the gap after the last send is over.
    pub(super) gap_ends_at: Timestamp,
    /// The reading of the cold ramp's clock from which on it may be sent to while cold.
    pub(super) slow_start_slot: f64,
    /// Not to be probed before.
    pub(super) next_health_check: Timestamp,
    /// For each class.
    pub(super) failures: Vec<FailureShare>,
    /// When it last served a request that must not run twice, if it has failed none since.
    pub(super) unsafe_served_at: Option<Timestamp>,
}

impl Endpoint {
    /// An endpoint just heard of: clear, healthy, not yet usable.
    pub(super) fn new(entry: &EndpointEntry, classes: usize) -> Self {
        Endpoint {
            id: entry.endpoint.clone(),
            zone: entry.zone.clone(),
            group: entry.group,
            size: 1.0,
            is_available: false,
            is_serving: false,
            is_draining: false,
            is_listed: false,
            started_at: entry.started_at,
            enabled_at: None,
            awaits_first_send: false,
            in_subset: false,
            is_remote: false,
            in_flight: 0,
            queue_length: 0.0,
            slowdown: 1.0,
            gapping_levels: 0,
            discarding_levels: 0,
            state_expires: Timestamp::default(),
            last_send: Timestamp::default(),
            gap_ends_at: Timestamp::default(),
            slow_start_slot: f64::INFINITY,
            next_health_check: Timestamp::default(),
            failures: vec![FailureShare::default(); classes],
            unsafe_served_at: None,
        }
    }

    /// The share of a class that it failed of late, or of the class that it failed most.
    pub(super) fn failure_share(
        &self,
        class: Option<usize>,
        now: Timestamp,
        fade: Duration,
    ) -> f64 {
        match class {
            Some(class) => self.failures.get(class).map_or(0.0, |f| f.at(now, fade)),
            None => self
                .failures
                .iter()
                .map(|f| f.at(now, fade))
                .fold(0.0, f64::max),
        }
    }

    /// Its process has started anew, with none of the old one's queue or failures.
    pub(super) fn restart(&mut self, started_at: Option<Timestamp>) {
        self.started_at = started_at;
        self.gapping_levels = 0;
        self.discarding_levels = 0;
        self.slowdown = 1.0;
        self.failures.fill(FailureShare::default());
        self.unsafe_served_at = None;
        self.slow_start_slot = f64::INFINITY;
    }
}

/// The share of a class's attempts that an endpoint failed of late; it fades.
#[derive(Clone, Copy, Default)]
pub(super) struct FailureShare {
    share: f64,
    updated_at: Timestamp,
}

impl FailureShare {
    /// What is left of it, where all but a third is forgotten in the time given.
    fn at(&self, now: Timestamp, fade: Duration) -> f64 {
        if self.share == 0.0 {
            return 0.0;
        }
        self.share * (-now.since(self.updated_at).as_secs_f64() / fade.as_secs_f64()).exp()
    }

    /// Counts one more attempt, with its weight.
    pub(super) fn count(&mut self, now: Timestamp, failed: bool, weight: f64, fade: Duration) {
        let before = self.at(now, fade);
        let sample = f64::from(u8::from(failed));
        self.share = before + (sample - before) * weight;
        self.updated_at = now;
    }
}
