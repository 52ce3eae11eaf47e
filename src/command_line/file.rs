//! Configuration files that commands are given.

use super::output::{Outcome, bad_input, complaint};
use crate::configuration::{self, ParsedConfiguration};
use std::fs;
use std::path::Path;

/// Reads a file's text, or complains that it cannot be read.
pub(super) fn read(file: &Path) -> Result<String, Outcome> {
    fs::read_to_string(file).map_err(|failure| bad_input(&format!("{}: {failure}", file.display())))
}

/// Reads a configuration, or complains of all that is wrong with it, a line each.
pub(super) fn parse(text: &str) -> Result<ParsedConfiguration, Outcome> {
    configuration::parse(text).map_err(|errors| {
        errors.0.iter().for_each(|error| complaint(error));
        Outcome::BadInput
    })
}
