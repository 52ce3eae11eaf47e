//! A sidecar that is drained, stopped or replaced while requests wait there.

use super::queueing_sidecar::QueueingSidecar;
use crate::stubs::*;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::thread;

/// Changes of a sidecar that requests may wait through: a drain by hand, a stop, an upgrade.
pub const LIFECYCLE_CHANGES: [&str; 3] = ["DRAIN", "TERM", "upgrade"];

/// What a sidecar is told while requests wait there; the next process, if one serves from now on.
pub fn apply_change(
    word: &str,
    sidecar: &Sidecar,
    folder: &Path,
    endpoint: &Endpoint,
) -> Option<Sidecar> {
    if word == "upgrade" {
        let mut config = with_admin_address(config(
            Discovery::start().address,
            &serving_entries(&[endpoint]),
        ));
        config["listen"] = json!(sidecar.address.to_string());
        let next = Sidecar::start_in_directory(folder, &config);
        sidecar.wait_for_log("the new process accepts callers");
        return Some(next);
    }
    match word {
        "DRAIN" => assert!(sidecar.call_is_yes("DRAIN")),
        _ => sidecar.terminate(),
    }
    wait_until("it takes no more callers", || !sidecar.call_is_yes("READY"));
    None
}

/// What happens to the sidecar between a request and its client's close: nothing, or one of [`LIFECYCLE_CHANGES`].
fn phases() -> impl Iterator<Item = Option<&'static str>> {
    std::iter::once(None).chain(LIFECYCLE_CHANGES.map(Some))
}

/// Runs a test in every phase, each with a sidecar of its own and all at once.
pub fn in_every_lifecycle_phase(test: impl Fn(Option<&str>) + Sync) {
    thread::scope(|scope| {
        for phase in phases() {
            let test = &test;
            scope.spawn(move || test(phase));
        }
    });
}

/// A sidecar that can be drained, stopped or replaced, with a folder of its own.
pub struct LifecycleSidecar {
    pub queueing: QueueingSidecar,
    folder: PathBuf,
    next: Option<Sidecar>,
}

impl LifecycleSidecar {
    /// Starts the sidecar after this change to its configuration.
    pub fn start(change: impl FnOnce(&mut Value)) -> Self {
        let folder = temporary_directory();
        let queueing = QueueingSidecar::start(change, |config| {
            Sidecar::start_in_directory(&folder, config)
        });
        LifecycleSidecar {
            queueing,
            folder,
            next: None,
        }
    }

    /// Applies the change of this phase, and keeps the next process if there is one.
    pub fn enter_phase(&mut self, phase: Option<&str>) {
        let Some(word) = phase else { return };
        self.next = apply_change(
            word,
            &self.queueing.sidecar,
            &self.folder,
            &self.queueing.endpoint,
        );
    }

    /// Attempts that have been written to endpoints, by this process and the next.
    pub fn attempts(&self) -> u64 {
        let written = |sidecar: &Sidecar| sidecar.metric("upstream_requests").expect("a figure");
        written(&self.queueing.sidecar) + self.next.as_ref().map_or(0, written)
    }
}

impl Drop for LifecycleSidecar {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
