//! A sidecar that is drained, stopped or replaced while requests wait there.

use crate::stubs::*;
use serde_json::json;
use std::path::Path;

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
        let mut config = with_admin(config(Discovery::start().address, &serving(&[endpoint])));
        config["listen"] = json!(sidecar.address.to_string());
        let next = Sidecar::start_in(folder, &config);
        sidecar.awaits_log("callers go over to the process after");
        return Some(next);
    }
    match word {
        "DRAIN" => assert!(sidecar.says_yes("DRAIN")),
        _ => sidecar.terminate(),
    }
    awaits("it takes no more callers", || !sidecar.says_yes("READY"));
    None
}
