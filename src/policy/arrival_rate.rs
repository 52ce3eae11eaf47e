//! The arrival rate of requests, averaged over the last few seconds.

use super::time::Timestamp;

/// The time constant of the average.
const TIME_CONSTANT_SECONDS: f64 = 3.0;
/// The shortest time that the first arrivals are averaged over.
const MIN_OBSERVATION_SECONDS: f64 = 0.5;

/// An exponentially decaying count of arrivals.
#[derive(Debug, Default)]
pub(super) struct ArrivalRate {
    observed_since: Option<Timestamp>,
    last_arrival: Timestamp,
    count: f64,
}

impl ArrivalRate {
    /// Starts the observation, if it has not started yet.
    pub(super) fn observe_from(&mut self, now: Timestamp) {
        self.observed_since.get_or_insert(now);
    }

    /// Adds one arrival, and returns the factor by which the count had decayed since the previous one.
    pub(super) fn add(&mut self, now: Timestamp) -> f64 {
        let decay = self.decay(now);
        self.count = self.count * decay + 1.0;
        self.last_arrival = now;
        decay
    }

    /// Returns the arrivals per second. At a steady rate, the decaying count grows to the rate times the time constant.
    /// Soon after the start, it has reached only the fraction that corresponds to the observed time.
    pub(super) fn per_second(&self, now: Timestamp) -> f64 {
        let observed = self
            .observed_since
            .map_or(0.0, |since| now.since(since).as_secs_f64());
        let observed_fraction =
            1.0 - (-observed.max(MIN_OBSERVATION_SECONDS) / TIME_CONSTANT_SECONDS).exp();
        self.count * self.decay(now) / (TIME_CONSTANT_SECONDS * observed_fraction)
    }

    /// Returns the factor by which the count has decayed since the last arrival.
    fn decay(&self, now: Timestamp) -> f64 {
        (-now.since(self.last_arrival).as_secs_f64() / TIME_CONSTANT_SECONDS).exp()
    }
}
