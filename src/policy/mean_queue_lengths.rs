//! Mean queue lengths of the tier. No decision is made here.

/// The mean queue length of local and of remote endpoints, which stands in for lapsed states.
#[derive(Default)]
pub(super) struct MeanQueueLengths {
    local: f64,
    remote: f64,
}

impl MeanQueueLengths {
    pub(super) fn of(&self, is_remote: bool) -> f64 {
        if is_remote { self.remote } else { self.local }
    }

    /// Counts one judgement, with its weight.
    pub(super) fn count(&mut self, is_remote: bool, queue_length: f64, weight: f64) {
        let mean = if is_remote {
            &mut self.remote
        } else {
            &mut self.local
        };
        *mean += (queue_length - *mean) * weight;
    }
}
