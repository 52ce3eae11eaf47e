//! The command `explain`.

use super::file;
use super::output::{Outcome, bad_input, line};
use crate::configuration::{self, Config};
use std::path::Path;

/// Shows the configuration in effect.
pub(super) fn explain(path: &Path) -> Outcome {
    let parsed = match file::read(path).and_then(|text| file::parse(&text)) {
        Ok(parsed) => parsed,
        Err(outcome) => return outcome,
    };
    let admin = match Config::admin_from_environment() {
        Ok(admin) => admin,
        Err(error) => return bad_input(&error),
    };
    let values = configuration::effective_values(&parsed, admin);
    for value in &values {
        line(value);
    }
    Outcome::Done
}
