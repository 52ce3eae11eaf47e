//! The command `check`.

use super::file;
use super::output::{Outcome, line};
use crate::configuration::unknown_keys;
use std::path::Path;

/// Tells all that is wrong with a configuration, and warns of keys that are not known.
pub(super) fn check(path: &Path) -> Outcome {
    let text = match file::read(path) {
        Ok(text) => text,
        Err(outcome) => return outcome,
    };
    let outcome = file::parse(&text).map_or_else(|outcome| outcome, |_| Outcome::Done);
    for key in &unknown_keys(&text) {
        line(&format!("warning: {key}"));
    }
    outcome
}
