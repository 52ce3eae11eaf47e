//! The command `check`.

use super::configuration_file;
use super::output::{CommandOutcome, print_line};
use crate::configuration::unknown_keys;
use std::path::Path;

/// Prints every error in a configuration file and a warning for each key that the sidecar does not read.
pub(super) fn check(path: &Path) -> CommandOutcome {
    let text = match configuration_file::read_text(path) {
        Ok(text) => text,
        Err(outcome) => return outcome,
    };
    let outcome = match configuration_file::parse(&text) {
        Ok(_) => CommandOutcome::Success,
        Err(outcome) => outcome,
    };
    for key in &unknown_keys(&text) {
        print_line(&format!("warning: {key}"));
    }
    outcome
}
