//! What a fleet counts, in all and for each second.

use super::usage::{HollowSecond, HollowUsage};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// The counts of a fleet, shared by its threads.
pub(super) struct Counters {
    started: Instant,
    counts: Mutex<Counts>,
}

#[derive(Default)]
struct Counts {
    usage: HollowUsage,
    seconds: Vec<HollowSecond>,
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

    pub fn call(&self) {
        self.count(|usage, second| {
            usage.calls += 1;
            second.calls += 1;
        });
    }

    pub fn attempt(&self) {
        self.count(|usage, second| {
            usage.attempts += 1;
            second.attempts += 1;
        });
    }

    pub fn served(&self) {
        self.count(|usage, second| {
            usage.served += 1;
            second.served += 1;
        });
    }

    pub fn not_served(&self, calls: u64) {
        self.count(|usage, second| {
            usage.not_served += calls;
            second.not_served += calls;
        });
    }

    pub fn check_health(&self) {
        self.lock().usage.health_checks += 1;
    }

    pub fn discovery_failure(&self) {
        self.lock().usage.discovery_failures += 1;
    }

    pub fn usage(&self) -> HollowUsage {
        self.lock().usage
    }

    /// One entry for each second since the start, the present one included.
    pub fn timeline(&self) -> Vec<HollowSecond> {
        let mut seconds = self.lock().seconds.clone();
        let present = usize::try_from(self.second()).unwrap_or(usize::MAX);
        seconds.resize(seconds.len().max(present + 1), HollowSecond::default());
        seconds
    }

    fn count(&self, add: impl FnOnce(&mut HollowUsage, &mut HollowSecond)) {
        let mut counts = self.lock();
        let second = usize::try_from(self.second()).unwrap_or(usize::MAX);
        if counts.seconds.len() <= second {
            counts.seconds.resize(second + 1, HollowSecond::default());
        }
        let Counts { usage, seconds } = &mut *counts;
        add(usage, &mut seconds[second]);
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
