//! The times at which the sidecars of a fleet reached a state.

use std::time::Duration;

/// The times at which the sidecars of a fleet reached a state, relative to the start of the measurement.
#[derive(Clone, Debug, Default)]
pub struct ConvergenceTimes {
    /// One duration for each sidecar that has reached the state, in ascending order.
    pub reached_after: Vec<Duration>,
    /// The number of sidecars that did not reach the state before the timeout.
    pub missing: usize,
}

impl ConvergenceTimes {
    /// Adds the times of another measurement.
    pub fn merge(&mut self, other: ConvergenceTimes) {
        self.reached_after.extend(other.reached_after);
        self.reached_after.sort();
        self.missing += other.missing;
    }
}
