//! The abatement, onset and discard thresholds on queue lengths, for each priority level.

/// The lowest abatement threshold, in requests. A shorter queue is empty again before its load report arrives.
const MIN_ABATEMENT_THRESHOLD: f64 = 0.3;
/// The highest discard threshold, in requests. An endpoint with a longer queue discards every priority level.
pub(super) const MAX_DISCARD_THRESHOLD: f64 = 2.6;

/// The thresholds of one priority level, in requests.
#[derive(Debug)]
struct LevelThresholds {
    abatement: f64,
    onset: f64,
    discard: f64,
}

/// The thresholds of all priority levels, the lowest level first.
#[derive(Debug, Default)]
pub(super) struct Thresholds(Vec<LevelThresholds>);

/// The number of levels whose thresholds a queue length has reached.
#[derive(Clone, Copy, Debug)]
pub(super) struct LevelsReached {
    pub(super) abatement: usize,
    pub(super) onset: usize,
    pub(super) discard: usize,
}

impl Thresholds {
    /// Creates the thresholds of a number of levels, evenly spaced from the lowest abatement threshold to the highest
    /// discard threshold.
    pub(super) fn for_levels(count: usize) -> Self {
        let step =
            (MAX_DISCARD_THRESHOLD - MIN_ABATEMENT_THRESHOLD) / (3 * count.max(1) - 1) as f64;
        let of_level = |level: usize| {
            let abatement = MIN_ABATEMENT_THRESHOLD + 3.0 * step * level as f64;
            LevelThresholds {
                abatement,
                onset: abatement + step,
                discard: abatement + 2.0 * step,
            }
        };
        Thresholds((0..count).map(of_level).collect())
    }

    /// Returns the number of priority levels.
    pub(super) fn level_count(&self) -> usize {
        self.0.len()
    }

    /// Returns the onset threshold of the lowest level.
    pub(super) fn lowest_onset(&self) -> f64 {
        self.0.first().map_or(1.0, |level| level.onset)
    }

    /// Returns the onset threshold of the highest level.
    pub(super) fn highest_onset(&self) -> f64 {
        self.0.last().map_or(0.0, |level| level.onset)
    }

    /// Returns the number of levels whose thresholds a queue length has reached.
    pub(super) fn reached(&self, queue_length: f64) -> LevelsReached {
        let count = |threshold: fn(&LevelThresholds) -> f64| {
            let levels = self.0.iter();
            levels.filter(|l| queue_length >= threshold(l)).count()
        };
        LevelsReached {
            abatement: count(|level| level.abatement),
            onset: count(|level| level.onset),
            discard: count(|level| level.discard),
        }
    }
}
