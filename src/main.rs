//! The program `balancer-sidecar`.

use std::process::ExitCode;

fn main() -> ExitCode {
    balancer_sidecar::command_line::main()
}
