//! The command line: its exit codes and its error messages.

use rustix::process::{Pid, Signal, kill_process};
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/experiments");
/// How long a test waits for anything at most.
const TIMEOUT: Duration = Duration::from_secs(15);
/// The interval at which an awaited state is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

fn lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fleet-lab"))
        .args(arguments)
        .output()
        .unwrap()
}

fn errors(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

fn path(path: &Path) -> &str {
    path.to_str().unwrap()
}

#[test]
fn check_accepts_an_experiment_of_the_project() {
    let file = format!("{FOLDER}/30-memory.toml");
    assert_eq!(lab(&["check", &file]).status.code(), Some(0));
}

#[test]
fn check_prints_a_line_for_each_invalid_value() {
    let folder = tempfile::tempdir().unwrap();
    let faulty = folder.path().join("faulty.toml");
    let text = fs::read_to_string(Path::new(FOLDER).join("30-memory.toml")).unwrap();
    fs::write(
        &faulty,
        text.replace("endpoints = [10,", "endpoints = [0, 0,"),
    )
    .unwrap();
    let output = lab(&["check", path(&faulty)]);
    assert_eq!(output.status.code(), Some(2));
    let errors = errors(&output);
    let lines: Vec<&str> = errors.lines().collect();
    assert_eq!(lines.len(), 4, "{errors}");
    assert!(
        lines[..3]
            .iter()
            .all(|line| line.starts_with(path(&faulty))),
        "{errors}"
    );
    assert_eq!(lines[3], "1 of 1 files cannot be used");
}

#[test]
fn unknown_arguments_and_experiment_names_exit_with_bad_input() {
    assert_eq!(lab(&["scale", "--no-such-option"]).status.code(), Some(2));
    let output = lab(&[
        "scale",
        "--experiments",
        FOLDER,
        "--only",
        "no-such-experiment",
    ]);
    assert_eq!(output.status.code(), Some(2));
    assert!(errors(&output).contains("no experiment is named no-such-experiment"));
}

#[test]
fn scale_reads_the_experiments_of_the_project_by_default() {
    let workspace = Path::new(FOLDER).ancestors().nth(2).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_fleet-lab"))
        .args(["scale", "--only", "no-such-experiment"])
        .current_dir(workspace)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        errors(&output),
        "no experiment is named no-such-experiment\n"
    );
}

#[test]
fn a_missing_program_and_an_empty_folder_exit_with_bad_input() {
    let folder = tempfile::tempdir().unwrap();
    let missing = folder.path().join("missing");
    let file = format!("{FOLDER}/30-memory.toml");
    let output = lab(&["run", &file, "--program", path(&missing)]);
    assert_eq!(output.status.code(), Some(2));
    assert!(errors(&output).contains(path(&missing)));
    assert_eq!(
        lab(&["scale", "--experiments", path(folder.path())])
            .status
            .code(),
        Some(2)
    );
}

/// The program ends immediately without listening, so the experiment cannot start.
#[test]
fn a_failed_experiment_is_reported_and_sets_the_exit_code() {
    let folder = tempfile::tempdir().unwrap();
    let file = format!("{FOLDER}/30-memory.toml");
    let output = lab(&[
        "run",
        &file,
        "--program",
        "/bin/true",
        "--output",
        path(folder.path()),
    ]);
    assert_eq!(output.status.code(), Some(1), "{}", errors(&output));
    let report = fs::read_to_string(folder.path().join("results.md")).unwrap();
    assert!(report.contains("- failed: could not start "), "{report}");
}

/// Returns the child processes of all threads of a process.
fn children(process: u32) -> Vec<i32> {
    let tasks = procfs::process::Process::new(process as i32).and_then(|process| process.tasks());
    let children = tasks
        .into_iter()
        .flatten()
        .flatten()
        .filter_map(|task| task.children().ok());
    children.flatten().map(|number| number as i32).collect()
}

/// The lab waits for a sidecar that never listens, so that one is running when the signal arrives.
#[test]
fn sigterm_ends_the_lab_and_its_child_processes() {
    let folder = tempfile::tempdir().unwrap();
    let program = folder.path().join("sidecar");
    fs::write(&program, "#!/bin/sh\nexec sleep 60\n").unwrap();
    fs::set_permissions(&program, fs::Permissions::from_mode(0o755)).unwrap();
    let mut lab = Command::new(env!("CARGO_BIN_EXE_fleet-lab"))
        .args([
            "run",
            &format!("{FOLDER}/30-memory.toml"),
            "--program",
            path(&program),
        ])
        .args(["--output", path(folder.path())])
        .env("TMPDIR", folder.path())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let give_up_at = Instant::now() + TIMEOUT;
    while children(lab.id()).is_empty() && Instant::now() < give_up_at {
        thread::sleep(POLL_INTERVAL);
    }
    let sidecars = children(lab.id());
    assert_eq!(sidecars.len(), 1);
    kill_process(Pid::from_child(&lab), Signal::TERM).unwrap();
    assert_eq!(lab.wait().unwrap().code(), Some(130));
    let is_running = |number: &i32| {
        let stat = procfs::process::Process::new(*number).and_then(|process| process.stat());
        stat.is_ok_and(|stat| stat.state != 'Z')
    };
    while sidecars.iter().any(is_running) {
        assert!(Instant::now() < give_up_at, "a sidecar is still running");
        thread::sleep(POLL_INTERVAL);
    }
}
