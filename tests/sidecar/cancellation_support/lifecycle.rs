//! A sidecar that is drained, shut down or hot-restarted while requests wait in it.

use super::queueing_sidecar::QueueingSidecar;
use crate::stubs::*;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::thread;

/// A change of a sidecar's state during which requests stay queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleChange {
    /// The operators' command `DRAIN`.
    Drain,
    /// Graceful shutdown by SIGTERM.
    Shutdown,
    /// A new process takes the listener over.
    HotRestart,
}

/// Every lifecycle change.
pub const LIFECYCLE_CHANGES: [LifecycleChange; 3] = [
    LifecycleChange::Drain,
    LifecycleChange::Shutdown,
    LifecycleChange::HotRestart,
];

/// Applies the change to a sidecar, and waits until it takes effect. Returns the new process of a hot restart, whose
/// configuration lists the endpoint.
pub fn apply_change(
    change: LifecycleChange,
    sidecar: &Sidecar,
    directory: &Path,
    endpoint: &Endpoint,
) -> Option<Sidecar> {
    if change == LifecycleChange::HotRestart {
        let mut config = with_admin_address(config(
            Discovery::start().address,
            &serving_entries(&[endpoint]),
        ));
        config["listen"] = json!(sidecar.address.to_string());
        let new_process = Sidecar::start_in_directory(directory, &config);
        sidecar.wait_for_log("the new process accepts callers");
        return Some(new_process);
    }
    if change == LifecycleChange::Drain {
        assert!(sidecar.admin_answers_yes("DRAIN"));
    } else {
        sidecar.terminate();
    }
    wait_until("the sidecar is not ready", || {
        !sidecar.admin_answers_yes("READY")
    });
    None
}

/// Returns the phases that a client may close in: after none of the lifecycle changes, or after one of them.
fn phases() -> impl Iterator<Item = Option<LifecycleChange>> {
    std::iter::once(None).chain(LIFECYCLE_CHANGES.map(Some))
}

/// Runs a test concurrently for every phase. The test starts a sidecar of its own for each.
pub fn in_every_lifecycle_phase(test: impl Fn(Option<LifecycleChange>) + Sync) {
    thread::scope(|scope| {
        for phase in phases() {
            let test = &test;
            scope.spawn(move || test(phase));
        }
    });
}

/// A sidecar that can be drained, shut down or hot-restarted, with a shared directory of its own.
pub struct LifecycleSidecar {
    /// The process that the requests are queued in.
    pub queueing: QueueingSidecar,
    directory: PathBuf,
    /// The new process of a hot restart.
    new_process: Option<Sidecar>,
}

impl LifecycleSidecar {
    /// Starts the sidecar after `configure` has changed its configuration.
    pub fn start(configure: impl FnOnce(&mut Value)) -> Self {
        let directory = temporary_directory();
        let queueing = QueueingSidecar::start(configure, |config| {
            Sidecar::start_in_directory(&directory, config)
        });
        LifecycleSidecar {
            queueing,
            directory,
            new_process: None,
        }
    }

    /// Applies the change of this phase, if there is one.
    pub fn enter_phase(&mut self, phase: Option<LifecycleChange>) {
        let Some(change) = phase else { return };
        self.new_process = apply_change(
            change,
            &self.queueing.sidecar,
            &self.directory,
            &self.queueing.endpoint,
        );
    }

    /// Returns how many attempts the old process and the new one have written to endpoints.
    pub fn attempts(&self) -> u64 {
        let attempts_of =
            |sidecar: &Sidecar| sidecar.metric("upstream_requests").expect("a metric");
        attempts_of(&self.queueing.sidecar) + self.new_process.as_ref().map_or(0, attempts_of)
    }
}

impl Drop for LifecycleSidecar {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
