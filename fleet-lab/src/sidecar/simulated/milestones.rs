//! The times at which each sidecar of a fleet received a version of the list, became ready and opened a watch.

use super::convergence_times::ConvergenceTimes;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The interval at which a wait checks the sidecars. The recorded times are more precise because the sidecars record
/// them.
const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// The milestones of one sidecar since its last start. Each record carries a number of restarts. Records of
/// earlier starts are ignored.
#[derive(Debug, Default)]
pub(super) struct Milestones(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// The number of times that the sidecar has been restarted.
    restarts: u64,
    /// The generation of the discovery source: the number of changes of its address since the last start.
    generation: u64,
    /// The received versions, in the order in which they were received.
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
    /// The generation of the discovery source that is watched.
    generation: u64,
    opened_at: Instant,
}

impl Milestones {
    /// Clears the milestones for a new start. Returns the new number of restarts.
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

    /// Records that the sidecar is ready or not ready. A sidecar that stays ready keeps the time at which it became
    /// ready.
    pub fn record_readiness(&self, restarts: u64, is_ready: bool) {
        self.record(restarts, |state, now| {
            state.ready_at = is_ready.then(|| state.ready_at.unwrap_or(now));
        });
    }

    /// Records that a watch was opened.
    pub fn record_watch_opened(&self, restarts: u64, generation: u64) {
        self.record(restarts, |state, opened_at| {
            // A watch on a previous source may open after the watch on the present one.
            let is_not_newer = |open: &OpenWatch| open.generation <= generation;
            if state.watch.as_ref().is_none_or(is_not_newer) {
                state.watch = Some(OpenWatch {
                    generation,
                    opened_at,
                });
            }
        });
    }

    /// Records that the watch on a source has ended.
    pub fn record_watch_lost(&self, restarts: u64, generation: u64) {
        self.record(restarts, |state, _| {
            state.watch.take_if(|watch| watch.generation == generation);
        });
    }

    /// Returns the time at which the sidecar first received this version or a later one.
    pub fn version_at(&self, version: u64) -> Option<Instant> {
        let state = self.lock();
        let mut versions = state.versions.iter();
        let received = versions.find(|received| received.version >= version)?;
        Some(received.at)
    }

    /// Returns the time since which the sidecar is ready, or `None` if it is not.
    pub fn ready_at(&self) -> Option<Instant> {
        self.lock().ready_at
    }

    /// Returns the time at which the watch on the present source was opened, or `None` if it is not open.
    pub fn watching_at(&self) -> Option<Instant> {
        let state = self.lock();
        let watch = state.watch.as_ref()?;
        (watch.generation == state.generation).then_some(watch.opened_at)
    }

    /// Changes the state, unless the record is from an earlier start.
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

/// Waits until all sidecars have reached a milestone or the timeout has passed. Returns the times at which they reached
/// it.
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
