//! The program `simulator-adapter`, which runs balancers for the simulator. It reads the simulator's messages from
//! standard input and writes the replies to standard output.

use balancer_sidecar::simulator;
use std::io::{BufReader, stdin, stdout};
use std::process::ExitCode;

/// The size of the input buffer, in bytes. It is large because a batch has many messages.
const INPUT_BUFFER_SIZE: usize = 1 << 20;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(INPUT_BUFFER_SIZE, stdin().lock());
    match simulator::serve(input, stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
