//! Arrivals a second, averaged over the last few.

use super::time::Timestamp;

/// Time in which an arrival's weight fades to a third.
const TIME_CONSTANT_SECONDS: f64 = 3.0;
/// Observed time that the first arrivals are averaged over at least.
const MIN_OBSERVATION_SECONDS: f64 = 0.5;

/// An exponentially fading count of arrivals.
#[derive(Default)]
pub(super) struct ArrivalRate {
    observed_since: Option<Timestamp>,
    last_arrival: Timestamp,
    count: f64,
}

impl ArrivalRate {
    /// Arrivals can be observed from now on, if not from earlier.
    pub(super) fn observe_from(&mut self, now: Timestamp) {
        self.observed_since.get_or_insert(now);
    }

    /// Counts one arrival; returns the factor by which older ones have faded since the last.
    pub(super) fn count(&mut self, now: Timestamp) -> f64 {
        let fade = self.fade(now);
        self.count = self.count * fade + 1.0;
        self.last_arrival = now;
        fade
    }

    /// Arrivals a second.
    pub(super) fn per_second(&self, now: Timestamp) -> f64 {
        let observed = self
            .observed_since
            .map_or(0.0, |since| now.since(since).as_secs_f64());
        let covered = 1.0 - (-observed.max(MIN_OBSERVATION_SECONDS) / TIME_CONSTANT_SECONDS).exp();
        self.count * self.fade(now) / (TIME_CONSTANT_SECONDS * covered)
    }

    fn fade(&self, now: Timestamp) -> f64 {
        (-now.since(self.last_arrival).as_secs_f64() / TIME_CONSTANT_SECONDS).exp()
    }
}
