//! The command line: its exit codes, and that what is wrong is told.

use std::fs;
use std::path::Path;
use std::process::{Command, Output};

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/experiments");

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pipittray-lab")).args(arguments).output().unwrap()
}

fn errors(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

fn path(path: &Path) -> &str {
    path.to_str().unwrap()
}

#[test]
fn check_accepts_a_file_of_the_project() {
    let file = format!("{FOLDER}/30-memory.toml");
    assert_eq!(lab(&["check", &file]).status.code(), Some(0));
}

#[test]
fn check_tells_each_fault_on_a_line() {
    let folder = tempfile::tempdir().unwrap();
    let faulty = folder.path().join("faulty.toml");
    let text = fs::read_to_string(Path::new(FOLDER).join("30-memory.toml")).unwrap();
    fs::write(&faulty, text.replace("endpoints = [10,", "endpoints = [0, 0,")).unwrap();
    let output = lab(&["check", path(&faulty)]);
    assert_eq!(output.status.code(), Some(2));
    let errors = errors(&output);
    let lines: Vec<&str> = errors.lines().collect();
    assert_eq!(lines.len(), 4, "{errors}");
    assert!(lines[..3].iter().all(|line| line.starts_with(path(&faulty))), "{errors}");
    assert_eq!(lines[3], "1 of 1 files cannot be used");
}

#[test]
fn unknown_arguments_and_names_are_bad_input() {
    assert_eq!(lab(&["scale", "--no-such-option"]).status.code(), Some(2));
    let output = lab(&["scale", "--experiments", FOLDER, "--only", "no-such-experiment"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(errors(&output).contains("no experiment is named no-such-experiment"));
}

#[test]
fn a_missing_program_and_an_empty_folder_are_bad_input() {
    let folder = tempfile::tempdir().unwrap();
    let missing = folder.path().join("missing");
    let file = format!("{FOLDER}/30-memory.toml");
    let output = lab(&["run", &file, "--program", path(&missing)]);
    assert_eq!(output.status.code(), Some(2));
    assert!(errors(&output).contains(path(&missing)));
    assert_eq!(lab(&["scale", "--experiments", path(folder.path())]).status.code(), Some(2));
}

/// A program that ends at once listens nowhere, so the experiment cannot begin.
#[test]
fn an_experiment_that_fails_is_in_the_report_and_in_the_exit_code() {
    let folder = tempfile::tempdir().unwrap();
    let file = format!("{FOLDER}/30-memory.toml");
    let output = lab(&["run", &file, "--program", "/bin/true", "--output", path(folder.path())]);
    assert_eq!(output.status.code(), Some(1), "{}", errors(&output));
    let report = fs::read_to_string(folder.path().join("results.md")).unwrap();
    assert!(report.contains("- failed: start "), "{report}");
}
