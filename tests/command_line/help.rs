//! Tests of the help, the version, the completions, the manual page and the exit code for invalid arguments.

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

/// Guards against commands that are missing from the help, the completions or the manual page.
#[test]
fn texts_name_all_commands() {
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
    assert!(
        manual.starts_with(".ie"),
        "the manual page is not roff: {manual}"
    );
}

#[test]
fn version_is_that_of_the_package() {
    assert_eq!(
        stdout(&run_program(&["--version"])),
        concat!("balancer-sidecar ", env!("CARGO_PKG_VERSION"), "\n")
    );
}

/// Guards against a program that runs as the sidecar although its arguments are invalid. Scripts depend on the exit
/// code 2.
#[test]
fn invalid_arguments_are_bad_input() {
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
