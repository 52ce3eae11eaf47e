//! The command `explain`.

use super::configuration_file;
use super::output::{CommandOutcome, print_line, report_bad_input};
use crate::configuration::{Config, effective_values};
use std::path::Path;

/// Prints the effective value of each key with its unit and origin.
pub(super) fn explain(path: &Path) -> CommandOutcome {
    let text = configuration_file::read_text(path);
    let parsed = match text.and_then(|text| configuration_file::parse(&text)) {
        Ok(parsed) => parsed,
        Err(outcome) => return outcome,
    };
    let admin_address = match Config::admin_address_from_environment() {
        Ok(admin_address) => admin_address,
        Err(error) => return report_bad_input(&error),
    };
    for value in &effective_values(&parsed, admin_address) {
        print_line(value);
    }
    CommandOutcome::Success
}
