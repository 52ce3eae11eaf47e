//! The state that a balancer keeps for each request class.

use super::class_settings::Class;
use super::time::Timestamp;

/// The answer time assumed for a class before its first answer, as a fraction of its latency objective.
pub(super) const INITIAL_ESTIMATE_FRACTION: f64 = 0.1;

/// The priority level and the answer times of a class.
#[derive(Clone, Debug)]
pub(super) struct ClassState {
    /// The time at which the class was removed from the settings. Pending requests may still refer to a removed class.
    pub(super) retired_at: Option<Timestamp>,
    /// The priority level of its requests; 0 is the lowest.
    pub(super) level: usize,
    /// The answer time estimate in seconds, for a request of mean cost.
    pub(super) estimated_time: f64,
    /// The mean answer time over many answers, in seconds, for a request of mean cost. Its minimum is the unloaded
    /// time.
    pub(super) long_term_mean_time: f64,
    /// The unloaded answer time in seconds; 0 before it is known.
    pub(super) unloaded_time: f64,
    /// The number of answers so far.
    pub(super) answers: u32,
    /// The regression of its answer times on cost hints.
    pub(super) hints: HintRegression,
}

impl ClassState {
    /// Creates the state of a class that has no answers yet.
    pub(super) fn new(class: &Class) -> Self {
        ClassState {
            retired_at: None,
            level: 0,
            estimated_time: class.objective.as_secs_f64() * INITIAL_ESTIMATE_FRACTION,
            long_term_mean_time: 0.0,
            unloaded_time: 0.0,
            answers: 0,
            hints: HintRegression::default(),
        }
    }
}

/// A running linear regression of answer times on the cost hints of requests.
#[derive(Clone, Debug, Default)]
pub(super) struct HintRegression {
    pub(super) mean_hint: f64,
    pub(super) mean_time: f64,
    hint_variance: f64,
    covariance: f64,
}

impl HintRegression {
    /// Returns the additional answer time, in seconds, for each additional second of the hint; at least 0.
    pub(super) fn slope(&self) -> f64 {
        (self.covariance / self.hint_variance.max(f64::MIN_POSITIVE)).max(0.0)
    }

    /// Adds one answer, with its weight in the means and its weight in the variance and the covariance.
    pub(super) fn add(&mut self, hint: f64, time: f64, mean_weight: f64, variance_weight: f64) {
        let hint_deviation = hint - self.mean_hint;
        let time_deviation = time - self.mean_time;
        self.hint_variance +=
            (hint_deviation * hint_deviation - self.hint_variance) * variance_weight;
        self.covariance += (hint_deviation * time_deviation - self.covariance) * variance_weight;
        self.mean_hint += hint_deviation * mean_weight;
        self.mean_time += time_deviation * mean_weight;
    }
}
