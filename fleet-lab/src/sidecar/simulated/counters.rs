//! The counters of a fleet, in total and by second.

use super::usage::{FleetUsage, SecondCounts};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// The counters of a fleet, shared by its threads.
#[derive(Debug)]
pub(super) struct Counters {
    started: Instant,
    counts: Mutex<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    usage: FleetUsage,
    seconds: Vec<SecondCounts>,
}

impl Counters {
    pub fn start() -> Self {
        Counters {
            started: Instant::now(),
            counts: Mutex::default(),
        }
    }

    /// Returns the whole seconds since the fleet's start.
    pub fn second(&self) -> u64 {
        self.started.elapsed().as_secs()
    }

    pub fn count_call(&self) {
        self.count(|usage, second| {
            usage.calls += 1;
            second.calls += 1;
        });
    }

    pub fn count_attempt(&self) {
        self.count(|usage, second| {
            usage.attempts += 1;
            second.attempts += 1;
        });
    }

    pub fn count_served(&self) {
        self.count(|usage, second| {
            usage.served += 1;
            second.served += 1;
        });
    }

    pub fn count_unserved(&self, calls: u64) {
        self.count(|usage, second| {
            usage.unserved += calls;
            second.unserved += calls;
        });
    }

    pub fn count_health_check(&self) {
        self.lock().usage.health_checks += 1;
    }

    pub fn count_discovery_failure(&self) {
        self.lock().usage.discovery_failures += 1;
    }

    pub fn usage(&self) -> FleetUsage {
        self.lock().usage
    }

    /// Returns the counts of each second since the start, including the current one.
    pub fn timeline(&self) -> Vec<SecondCounts> {
        let mut seconds = self.lock().seconds.clone();
        let current = usize::try_from(self.second()).unwrap_or(usize::MAX);
        seconds.resize(seconds.len().max(current + 1), SecondCounts::default());
        seconds
    }

    fn count(&self, add: impl FnOnce(&mut FleetUsage, &mut SecondCounts)) {
        let mut counts = self.lock();
        let second = usize::try_from(self.second()).unwrap_or(usize::MAX);
        if counts.seconds.len() <= second {
            counts.seconds.resize(second + 1, SecondCounts::default());
        }
        let Counts { usage, seconds } = &mut *counts;
        add(usage, &mut seconds[second]);
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
