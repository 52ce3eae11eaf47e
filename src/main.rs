//! The sidecar, as a program.

use std::process::ExitCode;

fn main() -> ExitCode {
    balancer_sidecar::command_line::main()
}
