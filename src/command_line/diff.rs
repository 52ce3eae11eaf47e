//! The command `diff`.

use super::output::{Outcome, bad_input, line, print};
use crate::configuration::{Config, Effect, differences};
use std::path::Path;

/// Tells what another configuration would change in a running sidecar; 1 where it would be turned down.
pub(super) fn diff(old: &Path, new: &Path) -> Outcome {
    let (running, next) = match (Config::from_file(old), Config::from_file(new)) {
        (Ok(running), Ok(next)) => (running, next),
        (Err(error), _) | (_, Err(error)) => return bad_input(&error),
    };
    let differences = differences(&running, &next);
    if differences.is_empty() {
        return print(&"nothing changes");
    }
    for difference in &differences {
        line(difference);
    }
    let is_rejected = differences
        .iter()
        .any(|difference| difference.effect == Effect::Rejected);
    if is_rejected {
        Outcome::Failed
    } else {
        Outcome::Done
    }
}
