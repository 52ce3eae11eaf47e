//! The command `explain`.

use super::output::{Outcome, bad_input, complaint, line};
use crate::configuration::{self, Config, parse};
use std::fs;
use std::path::Path;

/// Shows the configuration in effect.
pub(super) fn explain(file: &Path) -> Outcome {
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(failure) => return bad_input(&format!("{}: {failure}", file.display())),
    };
    let parsed = match parse(&text) {
        Ok(parsed) => parsed,
        Err(faults) => {
            faults.0.iter().for_each(|fault| complaint(fault));
            return Outcome::BadInput;
        }
    };
    let admin = match Config::admin_from_environment() {
        Ok(admin) => admin.map(|address| address.to_string()),
        Err(error) => return bad_input(&error),
    };
    let values = configuration::explain(&parsed, admin.as_deref());
    values.iter().for_each(|value| line(value));
    Outcome::Done
}
