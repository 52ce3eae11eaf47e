//! Arrival times: a Poisson process for each target, merged into one order.

use rand::SeedableRng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// A request that is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Arrival {
    /// Its arrival time, counted from the start of the load.
    pub due: Duration,
    /// The index of its target in the plan.
    pub target: usize,
}

/// The arrivals at all targets until the end of the load. They depend only on the rates and the seed, not on the
/// targets' answers.
pub(super) struct Schedule {
    sources: Vec<Option<ArrivalSource>>,
    /// The next arrival at each target.
    next: BinaryHeap<Reverse<(Duration, usize)>>,
    end: Duration,
}

impl Schedule {
    /// Creates the schedule for these rates, in calls a second. A target with a rate of zero has no arrivals.
    pub fn new(rates: impl IntoIterator<Item = f64>, end: Duration, seed: u64) -> Self {
        let mut seed_generator = Pcg64Mcg::seed_from_u64(seed);
        let sources = rates
            .into_iter()
            .map(|rate| ArrivalSource::new(rate, Pcg64Mcg::from_rng(&mut seed_generator)))
            .collect();
        let mut schedule = Schedule {
            sources,
            next: BinaryHeap::new(),
            end,
        };
        for target in 0..schedule.sources.len() {
            schedule.draw_arrival(target, Duration::ZERO);
        }
        schedule
    }

    /// Returns when the next request is due; none after the last one.
    pub fn next_due(&self) -> Option<Duration> {
        self.next.peek().map(|Reverse((due, _))| *due)
    }

    /// Takes the next request if it is due.
    pub fn take_due(&mut self, now: Duration) -> Option<Arrival> {
        if self.next_due()? > now {
            return None;
        }
        let Reverse((due, target)) = self.next.pop()?;
        self.draw_arrival(target, due);
        Some(Arrival { due, target })
    }

    /// Draws the arrival after one at this time.
    fn draw_arrival(&mut self, target: usize, previous: Duration) {
        let Some(source) = &mut self.sources[target] else {
            return;
        };
        let due = previous.saturating_add(source.next_interval());
        if due < self.end {
            self.next.push(Reverse((due, target)));
        }
    }
}

/// The arrivals at one target.
struct ArrivalSource {
    intervals: Exp<f64>,
    random: Pcg64Mcg,
}

impl ArrivalSource {
    fn new(rate: f64, random: Pcg64Mcg) -> Option<Self> {
        let intervals = Exp::new(rate).ok().filter(|_| rate > 0.0)?;
        Some(ArrivalSource { intervals, random })
    }

    fn next_interval(&mut self) -> Duration {
        let seconds = self.intervals.sample(&mut self.random);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
