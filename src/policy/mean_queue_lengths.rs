//! The mean queue lengths of the tier. No decision is made here.

use super::endpoint::Locality;

/// The mean queue length of local and of remote endpoints, used in place of expired overload states.
#[derive(Debug, Default)]
pub(super) struct MeanQueueLengths {
    local: f64,
    remote: f64,
}

impl MeanQueueLengths {
    /// Returns the mean over the endpoints of a locality.
    pub(super) fn of(&self, locality: Locality) -> f64 {
        match locality {
            Locality::Local => self.local,
            Locality::Remote => self.remote,
        }
    }

    /// Adds one queue length, with its weight in the mean.
    pub(super) fn add(&mut self, locality: Locality, queue_length: f64, weight: f64) {
        let mean = match locality {
            Locality::Local => &mut self.local,
            Locality::Remote => &mut self.remote,
        };
        *mean += (queue_length - *mean) * weight;
    }
}
