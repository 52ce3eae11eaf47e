//! Reads the configuration files that are named on the command line.

use super::output::{CommandOutcome, print_error, report_bad_input};
use crate::configuration::{self, ParsedConfiguration};
use std::fs;
use std::path::Path;

/// Returns the text of a file. Prints an error if the file cannot be read.
pub(super) fn read_text(path: &Path) -> Result<String, CommandOutcome> {
    fs::read_to_string(path)
        .map_err(|error| report_bad_input(&format!("{}: {error}", path.display())))
}

/// Parses the text of a configuration. Prints every error on a line of its own if the text is invalid.
pub(super) fn parse(text: &str) -> Result<ParsedConfiguration, CommandOutcome> {
    configuration::parse(text).map_err(|errors| {
        for error in &errors.0 {
            print_error(error);
        }
        CommandOutcome::BadInput
    })
}
