//! The times at which each sidecar of a fleet received a version of the list, became ready and opened a watch.

use super::convergence_times::ConvergenceTimes;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The interval at which a wait checks the sidecars. It does not limit the precision of the recorded times.
const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// The milestones of one sidecar. Records of an earlier start, which has been killed, are ignored.
#[derive(Debug, Default)]
pub(super) struct Milestones(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// How often the sidecar was restarted.
    restarts: u64,
    /// How often the address of discovery has changed since the last start.
    generation: u64,
    /// The received versions, in order.
    versions: Vec<ReceivedVersion>,
    ready_at: Option<Instant>,
    watch: Option<OpenWatch>,
}

#[derive(Debug)]
struct ReceivedVersion {
    version: u64,
    at: Instant,
}

#[derive(Debug)]
struct OpenWatch {
    /// The generation that is watched.
    generation: u64,
    opened_at: Instant,
}

impl Milestones {
    /// Clears the milestones; returns the new number of restarts.
    pub fn restart(&self) -> u64 {
        let mut state = self.lock();
        let restarts = state.restarts + 1;
        *state = State {
            restarts,
            ..State::default()
        };
        restarts
    }

    /// Records that the address of discovery has changed. Watches on the previous one no longer count.
    pub fn record_discovery_change(&self) {
        self.lock().generation += 1;
    }

    /// Records that a version was received.
    pub fn record_version(&self, restarts: u64, version: u64) {
        self.record(restarts, |state, at| {
            state.versions.push(ReceivedVersion { version, at });
        });
    }

    /// Records whether the sidecar is ready.
    pub fn record_readiness(&self, restarts: u64, is_ready: bool) {
        self.record(restarts, |state, now| {
            state.ready_at = is_ready.then(|| state.ready_at.unwrap_or(now));
        });
    }

    /// Records that a watch was opened.
    pub fn record_watch_opened(&self, restarts: u64, generation: u64) {
        self.record(restarts, |state, opened_at| {
            // A watch on the previous discovery may open after one on the present discovery.
            let is_not_newer = |open: &OpenWatch| open.generation <= generation;
            if state.watch.as_ref().is_none_or(is_not_newer) {
                state.watch = Some(OpenWatch {
                    generation,
                    opened_at,
                });
            }
        });
    }

    /// Records that a watch has ended.
    pub fn record_watch_lost(&self, restarts: u64, generation: u64) {
        self.record(restarts, |state, _| {
            state.watch.take_if(|watch| watch.generation == generation);
        });
    }

    /// Returns when the sidecar first received this version or a later one.
    pub fn version_at(&self, version: u64) -> Option<Instant> {
        let state = self.lock();
        let mut versions = state.versions.iter();
        let received = versions.find(|received| received.version >= version)?;
        Some(received.at)
    }

    /// Returns since when the sidecar is ready.
    pub fn ready_at(&self) -> Option<Instant> {
        self.lock().ready_at
    }

    /// Returns when the open watch on the present discovery was opened.
    pub fn watching_at(&self) -> Option<Instant> {
        let state = self.lock();
        let watch = state.watch.as_ref()?;
        (watch.generation == state.generation).then_some(watch.opened_at)
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

/// Waits until all sidecars have reached a milestone or the timeout has passed, and returns when each reached it.
pub(super) fn wait_for_all(
    fleet: &[Milestones],
    since: Instant,
    timeout: Duration,
    reached_at: impl Fn(&Milestones) -> Option<Instant>,
) -> ConvergenceTimes {
    let give_up_at = Instant::now() + timeout;
    loop {
        let reached: Vec<Instant> = fleet.iter().filter_map(&reached_at).collect();
        if reached.len() == fleet.len() || Instant::now() >= give_up_at {
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
