//! Help, version, completions and the manual page, all made from the same definitions.

use super::{run_program, stdout};

const COMMANDS: [&str; 11] = [
    "check",
    "explain",
    "diff",
    "status",
    "drain",
    "undrain",
    "disable",
    "enable",
    "completions",
    "man",
    "schema",
];

/// Guards the texts against commands that they leave out.
#[test]
fn every_command_is_in_the_help_the_completions_and_the_manual() {
    let help = stdout(&run_program(&["--help"]));
    let completions = stdout(&run_program(&["completions", "bash"]));
    let manual = stdout(&run_program(&["man"]));
    for command in COMMANDS {
        assert!(
            help.lines()
                .any(|line| line.trim_start().starts_with(command)),
            "{command}: {help}"
        );
        assert!(
            completions.contains(&format!("balancer__sidecar__{command}"))
                || completions.contains(command),
            "{command}"
        );
        assert!(manual.contains(command), "{command}: {manual}");
    }
    assert!(manual.starts_with(".ie"), "a page for man: {manual}");
}

#[test]
fn the_version_is_the_package_s() {
    assert_eq!(
        stdout(&run_program(&["--version"])),
        concat!("balancer-sidecar ", env!("CARGO_PKG_VERSION"), "\n")
    );
}

/// Guards scripts: arguments that are none are told, and nothing is served.
#[test]
fn unknown_arguments_are_bad_input() {
    for arguments in [
        &["serve-perhaps"][..],
        &["--no-such-option"],
        &["disable"],
        &["completions", "noshell"],
    ] {
        assert_eq!(
            run_program(arguments).status.code(),
            Some(2),
            "{arguments:?}"
        );
    }
}
