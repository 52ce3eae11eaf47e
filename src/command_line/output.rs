//! Output and exit codes of the commands.

use std::fmt::Display;
use std::io::{self, Write};
use std::process::ExitCode;

/// The exit code of a command that failed.
const FAILURE_CODE: u8 = 1;
/// The exit code for invalid input. It is the same as that of clap for invalid arguments.
const BAD_INPUT_CODE: u8 = 2;

/// The result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CommandOutcome {
    /// The command succeeded.
    Success,
    /// The command failed, or the sidecar's answer does not report success.
    Failure,
    /// The arguments, a configuration file or an environment variable is invalid, or a file cannot be read.
    BadInput,
}

impl CommandOutcome {
    /// Returns the exit code: 0, 1 or 2.
    pub(super) fn exit_code(self) -> ExitCode {
        match self {
            CommandOutcome::Success => ExitCode::SUCCESS,
            CommandOutcome::Failure => FAILURE_CODE.into(),
            CommandOutcome::BadInput => BAD_INPUT_CODE.into(),
        }
    }
}

/// Prints a line to standard output. Write errors are ignored, because the reader may have closed the pipe on purpose.
pub(super) fn print_line(text: &dyn Display) {
    let _ = writeln!(io::stdout(), "{text}");
}

/// Prints a line to standard error. Write errors are ignored.
pub(super) fn print_error(error: &dyn Display) {
    let _ = writeln!(io::stderr(), "{error}");
}

/// Prints the result of a command and returns [`CommandOutcome::Success`].
pub(super) fn print_result(text: &dyn Display) -> CommandOutcome {
    print_line(text);
    CommandOutcome::Success
}

/// Prints an error and returns [`CommandOutcome::Failure`].
pub(super) fn report_failure(error: &dyn Display) -> CommandOutcome {
    print_error(error);
    CommandOutcome::Failure
}

/// Prints an error and returns [`CommandOutcome::BadInput`].
pub(super) fn report_bad_input(error: &dyn Display) -> CommandOutcome {
    print_error(error);
    CommandOutcome::BadInput
}
