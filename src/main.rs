//! The sidecar, as a program.

use std::process::ExitCode;

fn main() -> ExitCode {
    pipittray::sidecar::main()
}
