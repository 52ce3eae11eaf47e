//! Experiment files: those of the project load, and faulty ones are told clearly.

use fleet_lab::experiment::{Experiment, ExperimentError};
use std::fs;
use std::path::{Path, PathBuf};

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/experiments");

const MEMORY: &str = r#"
name = "small"
purpose = "A test."
seed = 1
[measure]
kind = "memory"
endpoints = [10, 20]
open_requests = [10, 20]
caller_connections = [10, 20]
"#;

/// What loading this text, with a part replaced, fails with.
fn error_of(text: &str, part: &str, replacement: &str) -> ExperimentError {
    assert!(text.contains(part), "the text has no {part}");
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("faulty.toml");
    fs::write(&path, text.replace(part, replacement)).unwrap();
    Experiment::load(&path).unwrap_err()
}

fn faults_of(text: &str, part: &str, replacement: &str) -> Vec<String> {
    match error_of(text, part, replacement) {
        ExperimentError::Values { faults, .. } => faults.iter().map(ToString::to_string).collect(),
        other => panic!("{other}"),
    }
}

#[test]
fn all_files_of_the_project_load_and_have_names_of_their_own() {
    let experiments = Experiment::load_folder(Path::new(FOLDER)).unwrap();
    let mut names: Vec<&str> = experiments
        .iter()
        .map(|experiment| experiment.name.as_str())
        .collect();
    let count = names.len();
    assert!(count >= 8, "{names:?}");
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), count);
}

#[test]
fn a_folder_is_read_in_the_order_of_its_files_names() {
    let folder = tempfile::tempdir().unwrap();
    for name in ["20-b", "10-a", "30-c"] {
        let text = MEMORY.replace("small", name);
        fs::write(folder.path().join(name).with_extension("toml"), text).unwrap();
    }
    fs::write(folder.path().join("notes.txt"), "not an experiment").unwrap();
    let experiments = Experiment::load_folder(folder.path()).unwrap();
    let names: Vec<_> = experiments
        .iter()
        .map(|experiment| experiment.name.as_str())
        .collect();
    assert_eq!(names, ["10-a", "20-b", "30-c"]);
}

#[test]
fn a_missing_file_is_named() {
    let error = Experiment::load(&PathBuf::from("nowhere/none.toml")).unwrap_err();
    assert!(matches!(error, ExperimentError::Read { .. }));
    assert!(
        error.to_string().starts_with("nowhere/none.toml: "),
        "{error}"
    );
}

#[test]
fn an_unknown_field_is_named_on_one_line() {
    let error = error_of(MEMORY, "open_requests", "open_request");
    assert!(matches!(error, ExperimentError::Parse { .. }));
    let text = error.to_string();
    assert!(
        text.contains("faulty.toml: ") && text.contains("unknown field `open_request`"),
        "{text}"
    );
    assert_eq!(text.lines().count(), 1, "{text}");
}

#[test]
fn sizes_have_to_be_there_and_to_increase() {
    assert_eq!(
        faults_of(MEMORY, "endpoints = [10, 20]", "endpoints = []"),
        ["measure.endpoints is empty"]
    );
    assert_eq!(
        faults_of(MEMORY, "endpoints = [10, 20]", "endpoints = [20, 20]"),
        ["measure.endpoints is not increasing"]
    );
}

#[test]
fn all_faults_of_a_file_are_told_at_once() {
    let faults = faults_of(MEMORY, "[10, 20]", "[0, 100000]");
    assert_eq!(faults.len(), 6, "{faults:?}");
    assert_eq!(
        faults[0],
        "measure.endpoints is 0, not above 0 and at most 5000"
    );
}

#[test]
fn shares_and_numbers_of_processes_are_bounded() {
    let amplification =
        fs::read_to_string(Path::new(FOLDER).join("21-retry-amplification.toml")).unwrap();
    assert_eq!(
        faults_of(&amplification, "error_share = 0.1", "error_share = 1.5"),
        ["measure.error_share is 1.5, not from 0 to 1"]
    );
    assert_eq!(
        faults_of(
            &amplification,
            "endpoints_per_tier = 2",
            "endpoints_per_tier = 30"
        ),
        ["measure.depths needs 361 sidecar processes, more than 300"]
    );
    assert_eq!(
        faults_of(
            &amplification,
            "calls_per_second = 72.0",
            "calls_per_second = nan"
        ),
        ["measure.calls_per_second is NaN, not above 0 and at most 100000"]
    );
}
