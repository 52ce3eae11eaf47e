//! When each sidecar of a fleet had a version of the list, was ready, and had an open watch.

use super::convergence_times::ConvergenceTimes;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How often a wait looks at the sidecars; what it finds has times of its own.
const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// The milestones of one place in a fleet. What a sidecar notes under an earlier start is ignored: it was ended.
#[derive(Debug, Default)]
pub(super) struct Milestones(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// How often the sidecar was started again.
    restarts: u64,
    /// How often its discovery has moved since.
    source: u64,
    /// Versions that it was told, in order.
    versions: Vec<(u64, Instant)>,
    ready: Option<Instant>,
    /// Its open watch, and the source that it follows.
    watch: Option<(u64, Instant)>,
}

impl Milestones {
    /// Forgets what was reached; returns the number of the next start.
    pub fn restart(&self) -> u64 {
        let mut state = self.lock();
        let restarts = state.restarts + 1;
        *state = State {
            restarts,
            ..State::default()
        };
        restarts
    }

    /// The sidecar's discovery has moved: a watch on the one before no longer counts.
    pub fn record_discovery_change(&self) {
        self.lock().source += 1;
    }

    pub fn record_version(&self, restarts: u64, version: u64) {
        self.record(restarts, |state, now| state.versions.push((version, now)));
    }

    pub fn record_readiness(&self, restarts: u64, ready: bool) {
        self.record(restarts, |state, now| {
            state.ready = ready.then(|| state.ready.unwrap_or(now));
        });
    }

    pub fn record_watch_opened(&self, restarts: u64, source: u64) {
        self.record(restarts, |state, now| {
            // One on the discovery before may open late.
            if state.watch.is_none_or(|(open, _)| open <= source) {
                state.watch = Some((source, now));
            }
        });
    }

    pub fn record_watch_lost(&self, restarts: u64, source: u64) {
        self.record(restarts, |state, _| {
            state.watch.take_if(|(open, _)| *open == source);
        });
    }

    /// When it was first told this version or a later one.
    pub fn version_at(&self, version: u64) -> Option<Instant> {
        let state = self.lock();
        state
            .versions
            .iter()
            .find(|(known, _)| *known >= version)
            .map(|(_, at)| *at)
    }

    pub fn ready_at(&self) -> Option<Instant> {
        self.lock().ready
    }

    pub fn watching_at(&self) -> Option<Instant> {
        let state = self.lock();
        state
            .watch
            .filter(|(source, _)| *source == state.source)
            .map(|(_, at)| at)
    }

    fn record(&self, restarts: u64, change: impl FnOnce(&mut State, Instant)) {
        let mut state = self.lock();
        if state.restarts == restarts {
            change(&mut state, Instant::now());
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for `longest` at most until all have reached something, and tells when each did.
pub(super) fn wait(
    fleet: &[Milestones],
    since: Instant,
    longest: Duration,
    reached_at: impl Fn(&Milestones) -> Option<Instant>,
) -> ConvergenceTimes {
    let give_up = Instant::now() + longest;
    loop {
        let reached: Vec<Instant> = fleet.iter().filter_map(&reached_at).collect();
        if reached.len() == fleet.len() || Instant::now() >= give_up {
            return convergence_times(fleet.len(), since, &reached);
        }
        sleep(POLL_INTERVAL);
    }
}

fn convergence_times(expected: usize, since: Instant, reached: &[Instant]) -> ConvergenceTimes {
    let mut reached_after: Vec<Duration> = reached
        .iter()
        .map(|at| at.saturating_duration_since(since))
        .collect();
    reached_after.sort();
    ConvergenceTimes {
        missing: expected - reached_after.len(),
        reached_after,
    }
}
