//! The decision module on the simulator's wire: standard input to standard output.

use balancer_sidecar::simulator;
use std::io::{BufReader, stdin, stdout};
use std::process::ExitCode;

/// Batches are long: read in large pieces.
const READ_BUFFER: usize = 1 << 20;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(READ_BUFFER, stdin().lock());
    match simulator::serve(input, stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
