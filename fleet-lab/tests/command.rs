//! Exit codes and error messages of the command line.

use rustix::process::{Pid, Signal, kill_process};
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

const EXPERIMENT_FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/experiments");
/// The longest time that a test waits for a state.
const TIMEOUT: Duration = Duration::from_secs(15);
/// The interval at which an awaited state is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Runs the lab with these arguments until it ends.
fn run_lab(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fleet-lab"))
        .args(arguments)
        .output()
        .unwrap()
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

fn path_text(path: &Path) -> &str {
    path.to_str().unwrap()
}

#[test]
fn check_accepts_project_experiment() {
    let file = format!("{EXPERIMENT_FOLDER}/30-memory.toml");
    assert_eq!(run_lab(&["check", &file]).status.code(), Some(0));
}

#[test]
fn check_prints_line_for_each_invalid_value() {
    let folder = tempfile::tempdir().unwrap();
    let invalid_file = folder.path().join("invalid.toml");
    let text = fs::read_to_string(Path::new(EXPERIMENT_FOLDER).join("30-memory.toml")).unwrap();
    fs::write(
        &invalid_file,
        text.replace("endpoints = [10,", "endpoints = [0, 0,"),
    )
    .unwrap();
    let output = run_lab(&["check", path_text(&invalid_file)]);
    assert_eq!(output.status.code(), Some(2));
    let errors = stderr_text(&output);
    let lines: Vec<&str> = errors.lines().collect();
    assert_eq!(lines.len(), 4, "{errors}");
    assert!(
        lines[..3]
            .iter()
            .all(|line| line.starts_with(path_text(&invalid_file))),
        "{errors}"
    );
    assert_eq!(lines[3], "1 of 1 files cannot be used");
}

#[test]
fn unknown_options_and_experiments_exit_with_2() {
    assert_eq!(
        run_lab(&["scale", "--no-such-option"]).status.code(),
        Some(2)
    );
    let output = run_lab(&[
        "scale",
        "--experiments",
        EXPERIMENT_FOLDER,
        "--only",
        "no-such-experiment",
    ]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr_text(&output).contains("no experiment is named no-such-experiment"));
}

/// Without `--experiments`, the command reads `fleet-lab/experiments` below the working folder.
#[test]
fn scale_reads_project_experiments_by_default() {
    let workspace = Path::new(EXPERIMENT_FOLDER).ancestors().nth(2).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_fleet-lab"))
        .args(["scale", "--only", "no-such-experiment"])
        .current_dir(workspace)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        stderr_text(&output),
        "no experiment is named no-such-experiment\n"
    );
}

#[test]
fn missing_program_and_empty_folder_exit_with_2() {
    let folder = tempfile::tempdir().unwrap();
    let missing = folder.path().join("missing");
    let file = format!("{EXPERIMENT_FOLDER}/30-memory.toml");
    let output = run_lab(&["run", &file, "--program", path_text(&missing)]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr_text(&output).contains(path_text(&missing)));
    assert_eq!(
        run_lab(&["scale", "--experiments", path_text(folder.path())])
            .status
            .code(),
        Some(2)
    );
}

/// The program `/bin/true` ends without listening, so the experiment cannot start.
#[test]
fn failed_experiment_is_reported_and_exits_with_1() {
    let folder = tempfile::tempdir().unwrap();
    let file = format!("{EXPERIMENT_FOLDER}/30-memory.toml");
    let output = run_lab(&[
        "run",
        &file,
        "--program",
        "/bin/true",
        "--output",
        path_text(folder.path()),
    ]);
    assert_eq!(output.status.code(), Some(1), "{}", stderr_text(&output));
    let report = fs::read_to_string(folder.path().join("results.md")).unwrap();
    assert!(report.contains("- failed: could not start "), "{report}");
}

/// Returns the child processes of all threads of a process.
fn child_processes(process_id: u32) -> Vec<i32> {
    let tasks =
        procfs::process::Process::new(process_id as i32).and_then(|process| process.tasks());
    let children = tasks
        .into_iter()
        .flatten()
        .flatten()
        .filter_map(|task| task.children().ok());
    children.flatten().map(|id| id as i32).collect()
}

/// The sidecar program never listens, so the lab still waits for it when the signal arrives.
#[test]
fn sigterm_ends_lab_and_child_processes() {
    let folder = tempfile::tempdir().unwrap();
    let program = folder.path().join("sidecar");
    fs::write(&program, "#!/bin/sh\nexec sleep 60\n").unwrap();
    fs::set_permissions(&program, fs::Permissions::from_mode(0o755)).unwrap();
    let mut lab = Command::new(env!("CARGO_BIN_EXE_fleet-lab"))
        .args([
            "run",
            &format!("{EXPERIMENT_FOLDER}/30-memory.toml"),
            "--program",
            path_text(&program),
        ])
        .args(["--output", path_text(folder.path())])
        .env("TMPDIR", folder.path())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let give_up_at = Instant::now() + TIMEOUT;
    while child_processes(lab.id()).is_empty() && Instant::now() < give_up_at {
        thread::sleep(POLL_INTERVAL);
    }
    let sidecars = child_processes(lab.id());
    assert_eq!(sidecars.len(), 1);
    kill_process(Pid::from_child(&lab), Signal::TERM).unwrap();
    assert_eq!(lab.wait().unwrap().code(), Some(130));
    let is_running = |id: &i32| {
        let stat = procfs::process::Process::new(*id).and_then(|process| process.stat());
        stat.is_ok_and(|stat| stat.state != 'Z')
    };
    while sidecars.iter().any(is_running) {
        assert!(
            Instant::now() < give_up_at,
            "a sidecar process still runs after the lab has ended"
        );
        thread::sleep(POLL_INTERVAL);
    }
}
