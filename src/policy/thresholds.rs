//! Abatement, onset and discard thresholds on queue lengths, for each worth level.

/// Queue length (requests) below which no level is throttled: a queue this short empties before news comes.
const MIN_ABATEMENT: f64 = 0.3;
/// Queue length (requests) at which every level is discarded.
pub(super) const MAX_DISCARD: f64 = 2.6;

struct LevelThresholds {
    abatement: f64,
    onset: f64,
    discard: f64,
}

/// The thresholds of all worth levels, the lowest level first.
#[derive(Default)]
pub(super) struct Thresholds(Vec<LevelThresholds>);

/// How many levels' thresholds a queue length has reached.
pub(super) struct LevelsReached {
    pub(super) abatement: usize,
    pub(super) onset: usize,
    pub(super) discard: usize,
}

impl Thresholds {
    /// Thresholds that lie evenly between the lowest abatement and the highest discard.
    pub(super) fn for_levels(count: usize) -> Self {
        let step = (MAX_DISCARD - MIN_ABATEMENT) / (3 * count.max(1) - 1) as f64;
        let of_level = |level: usize| {
            let abatement = MIN_ABATEMENT + 3.0 * step * level as f64;
            LevelThresholds {
                abatement,
                onset: abatement + step,
                discard: abatement + 2.0 * step,
            }
        };
        Thresholds((0..count).map(of_level).collect())
    }

    pub(super) fn level_count(&self) -> usize {
        self.0.len()
    }

    pub(super) fn lowest_onset(&self) -> f64 {
        self.0.first().map_or(1.0, |level| level.onset)
    }

    pub(super) fn highest_onset(&self) -> f64 {
        self.0.last().map_or(0.0, |level| level.onset)
    }

    pub(super) fn reached(&self, queue_length: f64) -> LevelsReached {
        let count = |threshold: fn(&LevelThresholds) -> f64| {
            self.0
                .iter()
                .filter(|l| queue_length >= threshold(l))
                .count()
        };
        LevelsReached {
            abatement: count(|level| level.abatement),
            onset: count(|level| level.onset),
            discard: count(|level| level.discard),
        }
    }
}
