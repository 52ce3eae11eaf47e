//! How commands end, and what they print.

use std::fmt::Display;
use std::io::{self, Write};
use std::process::ExitCode;

/// Exit code of a command that could not do what it was asked.
const FAILED: u8 = 1;
/// Exit code of input that cannot be used, as clap has it for arguments.
const BAD_INPUT: u8 = 2;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// As it was asked to.
    Done,
    /// Not as it was asked to.
    Failed,
    /// Its input cannot be used.
    BadInput,
}

impl Outcome {
    /// 0, 1 or 2.
    pub fn exit_code(self) -> ExitCode {
        match self {
            Outcome::Done => ExitCode::SUCCESS,
            Outcome::Failed => FAILED.into(),
            Outcome::BadInput => BAD_INPUT.into(),
        }
    }
}

/// Prints a line. One that nobody reads any more is no reason to complain.
pub fn line(text: &dyn Display) {
    let _ = writeln!(io::stdout(), "{text}");
}

/// Prints a line of complaint.
pub fn complaint(problem: &dyn Display) {
    let _ = writeln!(io::stderr(), "{problem}");
}

/// Prints what was asked for.
pub fn print(text: &dyn Display) -> Outcome {
    line(text);
    Outcome::Done
}

/// Complains that a command failed.
pub fn failed(problem: &dyn Display) -> Outcome {
    complaint(problem);
    Outcome::Failed
}

/// Complains of the input.
pub fn bad_input(problem: &dyn Display) -> Outcome {
    complaint(problem);
    Outcome::BadInput
}
