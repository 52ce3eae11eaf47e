//! A sidecar that is drained, stopped or replaced while requests wait there.

use super::holding::Holds;
use crate::stubs::*;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use std::thread;

/// Changes of a sidecar that requests may wait through: a drain by hand, a stop, an upgrade.
pub const CHANGES: [&str; 3] = ["DRAIN", "TERM", "upgrade"];

/// What a sidecar is told while requests wait there; the next process, if one serves from now on.
pub fn changes(
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

/// What happens to the sidecar between a request and its client's close: nothing, or one of [`CHANGES`].
fn phases() -> impl Iterator<Item = Option<&'static str>> {
    std::iter::once(None).chain(CHANGES.map(Some))
}

/// Runs a test in every phase, each with a sidecar of its own and all at once.
pub fn in_every_phase(test: impl Fn(Option<&str>) + Sync) {
    thread::scope(|scope| {
        for phase in phases() {
            let test = &test;
            scope.spawn(move || test(phase));
        }
    });
}

/// A sidecar that can be drained, stopped or replaced, with a folder of its own.
pub struct Replaceable {
    pub holds: Holds,
    folder: PathBuf,
    next: Option<Sidecar>,
}

impl Replaceable {
    /// Starts the sidecar after this change to its configuration.
    pub fn start(change: impl FnOnce(&mut Value)) -> Self {
        let folder = temporary_directory();
        let holds = Holds::start(change, |config| {
            Sidecar::start_in_directory(&folder, config)
        });
        Replaceable {
            holds,
            folder,
            next: None,
        }
    }

    /// Applies the change of this phase, and keeps the next process if there is one.
    pub fn enters(&mut self, phase: Option<&str>) {
        let Some(word) = phase else { return };
        self.next = changes(
            word,
            &self.holds.sidecar,
            &self.folder,
            &self.holds.endpoint,
        );
    }

    /// Attempts that have been written to endpoints, by this process and the next.
    pub fn attempts(&self) -> u64 {
        let written = |sidecar: &Sidecar| sidecar.metric("upstream_requests").expect("a figure");
        written(&self.holds.sidecar) + self.next.as_ref().map_or(0, written)
    }
}

impl Drop for Replaceable {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
