//! The command `diff`.

use super::output::{CommandOutcome, print_line, print_result, report_bad_input};
use crate::configuration::{ChangeEffect, Config, differences};
use std::path::Path;

/// Prints the differences between the configuration file of a running sidecar and the next one. Fails if a reload would
/// reject the next file.
pub(super) fn diff(running_path: &Path, next_path: &Path) -> CommandOutcome {
    let (running, next) = match (
        Config::from_file(running_path),
        Config::from_file(next_path),
    ) {
        (Ok(running), Ok(next)) => (running, next),
        (Err(error), _) | (_, Err(error)) => return report_bad_input(&error),
    };
    let differences = differences(&running, &next);
    if differences.is_empty() {
        return print_result(&"nothing changes");
    }
    for difference in &differences {
        print_line(difference);
    }
    let is_rejected = differences
        .iter()
        .any(|difference| difference.effect == ChangeEffect::Rejected);
    if is_rejected {
        CommandOutcome::Failure
    } else {
        CommandOutcome::Success
    }
}
