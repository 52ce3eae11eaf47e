//! The command `check`.

use super::output::{Outcome, bad_input, complaint, line};
use crate::configuration::{parse, unknown_keys};
use std::fs;
use std::path::Path;

/// Tells all that is wrong with a configuration, and warns of keys that are not known.
pub(super) fn check(file: &Path) -> Outcome {
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(failure) => return bad_input(&format!("{}: {failure}", file.display())),
    };
    let outcome = match parse(&text) {
        Ok(_) => Outcome::Done,
        Err(faults) => {
            faults.0.iter().for_each(|fault| complaint(fault));
            Outcome::BadInput
        }
    };
    unknown_keys(&text).iter().for_each(|key| line(&format!("warning: {key}")));
    outcome
}
