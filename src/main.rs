//! The sidecar, as a program.

use std::process::ExitCode;

fn main() -> ExitCode {
    pipittray::command_line::main()
}
