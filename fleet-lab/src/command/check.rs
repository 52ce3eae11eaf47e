//! The command `check`.

use super::CommandError;
use fleet_lab::experiment::Experiment;
use std::path::PathBuf;

/// Checks experiment files and prints a line for each invalid value.
pub(super) fn check(files: &[PathBuf]) -> Result<(), CommandError> {
    let errors: Vec<_> = files
        .iter()
        .filter_map(|file| Experiment::load(file).err())
        .collect();
    for error in &errors {
        eprintln!("{error}");
    }
    if errors.is_empty() {
        Ok(())
    } else {
        Err(CommandError::Check {
            unusable: errors.len(),
            checked: files.len(),
        })
    }
}
