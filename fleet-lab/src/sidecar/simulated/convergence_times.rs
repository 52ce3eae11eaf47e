//! When the sidecars of a fleet reached a state.

use std::time::Duration;

/// When each sidecar of a fleet reached a state, since the moment asked from.
#[derive(Clone, Debug, Default)]
pub struct ConvergenceTimes {
    /// One duration for each sidecar that did, sorted.
    pub reached_after: Vec<Duration>,
    /// Sidecars that did not before the wait ended.
    pub missing: usize,
}
