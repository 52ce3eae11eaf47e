//! What an instance keeps of each class. No decision is made here.

use super::time::Timestamp;

/// A class's worth level and answer times.
#[derive(Clone, Default)]
pub(super) struct ClassState {
    /// Since when it is no longer in the settings; requests under way keep it.
    pub(super) retired_at: Option<Timestamp>,
    pub(super) level: usize,
    /// Mean answer time in seconds, of a request of mean cost.
    pub(super) estimated_time: f64,
    /// Mean answer time over many answers, whose least value is the unloaded time.
    pub(super) long_term_mean_time: f64,
    /// The unloaded answer time in seconds; 0 while it is not known.
    pub(super) unloaded_time: f64,
    pub(super) answers: u32,
    pub(super) hints: HintRegression,
}

/// How answer times go with the cost hints of requests: a running linear regression.
#[derive(Clone, Default)]
pub(super) struct HintRegression {
    pub(super) mean_hint: f64,
    pub(super) mean_time: f64,
    hint_variance: f64,
    covariance: f64,
}

impl HintRegression {
    /// How much longer an answer takes, in seconds, for each second more in its hint.
    pub(super) fn slope(&self) -> f64 {
        (self.covariance / self.hint_variance.max(f64::MIN_POSITIVE)).max(0.0)
    }

    /// Counts one more answer, with its weight in the means and in the variances.
    pub(super) fn count(&mut self, hint: f64, time: f64, mean_weight: f64, variance_weight: f64) {
        let hint_deviation = hint - self.mean_hint;
        let time_deviation = time - self.mean_time;
        self.hint_variance +=
            (hint_deviation * hint_deviation - self.hint_variance) * variance_weight;
        self.covariance += (hint_deviation * time_deviation - self.covariance) * variance_weight;
        self.mean_hint += hint_deviation * mean_weight;
        self.mean_time += time_deviation * mean_weight;
    }
}
