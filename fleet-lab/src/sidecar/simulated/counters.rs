//! What a fleet counts, in all and for each second.

use super::usage::{FleetUsage, SecondCounts};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// The counts of a fleet, shared by its threads.
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

    /// Whole seconds since the fleet's start.
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

    /// One entry for each second since the start, the present one included.
    pub fn timeline(&self) -> Vec<SecondCounts> {
        let mut seconds = self.lock().seconds.clone();
        let present = usize::try_from(self.second()).unwrap_or(usize::MAX);
        seconds.resize(seconds.len().max(present + 1), SecondCounts::default());
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
