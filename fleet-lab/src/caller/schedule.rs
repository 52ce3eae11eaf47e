//! Arrival times of requests: a Poisson process for each target, merged in order of time.

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
/// targets' responses.
pub(super) struct Schedule {
    /// The arrivals at each target; `None` for a target with a rate of zero.
    sources: Vec<Option<ArrivalSource>>,
    /// The next arrival at each target, earliest first.
    next: BinaryHeap<Reverse<(Duration, usize)>>,
    end: Duration,
}

impl Schedule {
    /// Creates the schedule for these rates, in requests per second. A target with a rate of zero has no arrivals.
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

    /// Returns the time at which the next request is due; `None` after the last one.
    pub fn next_due(&self) -> Option<Duration> {
        self.next.peek().map(|Reverse((due, _))| *due)
    }

    /// Removes and returns the next request if it is due.
    pub fn take_due(&mut self, now: Duration) -> Option<Arrival> {
        if self.next_due()? > now {
            return None;
        }
        let Reverse((due, target)) = self.next.pop()?;
        self.draw_arrival(target, due);
        Some(Arrival { due, target })
    }

    /// Draws the next arrival at a target after the previous one, unless it is past the end of the load.
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

/// A Poisson process of arrivals at one target.
struct ArrivalSource {
    /// The distribution of the time between two arrivals.
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
