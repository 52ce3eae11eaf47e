//! Experiment files: loading the project's experiments, and errors of invalid files.

use fleet_lab::endpoint::SlowStart;
use fleet_lab::experiment::{Experiment, ExperimentError, Measurement};
use std::fs;
use std::path::{Path, PathBuf};

const EXPERIMENT_FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/experiments");

const MEMORY_EXPERIMENT: &str = r#"
name = "small"
purpose = "A test."
seed = 1
[measure]
kind = "memory"
endpoints = [10, 20]
open_requests = [10, 20]
caller_connections = [10, 20]
"#;

/// Replaces a part of an experiment's text, loads the result from a file, and returns the error.
fn load_error(text: &str, part: &str, replacement: &str) -> ExperimentError {
    assert!(
        text.contains(part),
        "the experiment's text does not contain {part}"
    );
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("invalid.toml");
    fs::write(&path, text.replace(part, replacement)).unwrap();
    Experiment::load(&path).unwrap_err()
}

/// Returns the messages of the errors of invalid values, see [`load_error`].
fn value_errors(text: &str, part: &str, replacement: &str) -> Vec<String> {
    match load_error(text, part, replacement) {
        ExperimentError::Values { errors, .. } => errors.iter().map(ToString::to_string).collect(),
        other => panic!("{other}"),
    }
}

#[test]
fn project_experiments_load_with_distinct_names() {
    let experiments = Experiment::load_folder(Path::new(EXPERIMENT_FOLDER)).unwrap();
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
fn folder_is_loaded_in_file_name_order() {
    let folder = tempfile::tempdir().unwrap();
    for name in ["20-b", "10-a", "30-c"] {
        let text = MEMORY_EXPERIMENT.replace("small", name);
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
fn missing_file_error_names_file() {
    let error = Experiment::load(&PathBuf::from("nowhere/none.toml")).unwrap_err();
    assert!(matches!(error, ExperimentError::Read { .. }));
    assert!(
        error.to_string().starts_with("nowhere/none.toml: "),
        "{error}"
    );
}

#[test]
fn unknown_field_error_is_one_line() {
    let error = load_error(MEMORY_EXPERIMENT, "open_requests", "open_request");
    assert!(matches!(error, ExperimentError::Parse { .. }));
    let text = error.to_string();
    assert!(
        text.contains("invalid.toml: ") && text.contains("unknown field `open_request`"),
        "{text}"
    );
    assert_eq!(text.lines().count(), 1, "{text}");
}

#[test]
fn empty_and_repeated_sizes_are_invalid() {
    assert_eq!(
        value_errors(MEMORY_EXPERIMENT, "endpoints = [10, 20]", "endpoints = []"),
        ["measure.endpoints is empty"]
    );
    assert_eq!(
        value_errors(
            MEMORY_EXPERIMENT,
            "endpoints = [10, 20]",
            "endpoints = [20, 20]"
        ),
        ["measure.endpoints is not increasing"]
    );
}

#[test]
fn all_invalid_values_are_reported() {
    let errors = value_errors(MEMORY_EXPERIMENT, "[10, 20]", "[0, 100000]");
    assert_eq!(errors.len(), 6, "{errors:?}");
    assert_eq!(
        errors[0],
        "measure.endpoints is 0, not above 0 and at most 5000"
    );
}

#[test]
fn fractions_processes_and_rates_have_limits() {
    let amplification =
        fs::read_to_string(Path::new(EXPERIMENT_FOLDER).join("21-retry-amplification.toml"))
            .unwrap();
    assert_eq!(
        value_errors(&amplification, "error_share = 0.1", "error_share = 1.5"),
        ["measure.error_share is 1.5, not from 0 to 1"]
    );
    assert_eq!(
        value_errors(
            &amplification,
            "endpoints_per_tier = 2",
            "endpoints_per_tier = 30"
        ),
        ["measure.depths needs 361 sidecar processes, more than 300"]
    );
    assert_eq!(
        value_errors(
            &amplification,
            "calls_per_second = 72.0",
            "calls_per_second = nan"
        ),
        ["measure.calls_per_second is NaN, not above 0 and at most 100000"]
    );
}

#[test]
fn slow_start_is_parsed() {
    let text =
        fs::read_to_string(Path::new(EXPERIMENT_FOLDER).join("10-added-latency-500.toml")).unwrap();
    let slow_start_key = "cold_ramp = { from = 0.3, milliseconds = 100 }\nload_reports";
    let experiment: Experiment =
        toml::from_str(&text.replace("load_reports", slow_start_key)).unwrap();
    let Measurement::AddedLatency(plan) = experiment.measure else {
        panic!("the experiment does not measure added latency");
    };
    let expected = SlowStart {
        initial_capacity: 0.3,
        warm_up_milliseconds: 100,
    };
    assert_eq!(plan.endpoint.slow_start, Some(expected));
}
