//! The command line of fleet-lab.

#![forbid(unsafe_code)]

mod command;
mod limits;
mod signals;

use clap::Parser;
use command::Arguments;
use std::io::{self, IsTerminal};
use std::process::ExitCode;
use tracing_subscriber::EnvFilter;

/// The environment variable with the log filter, such as `debug`.
const LOG_VARIABLE: &str = "PIPITTRAY_LAB_LOG";

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    start_log();
    limits::raise_descriptor_limit();
    signals::start_handler();
    match arguments.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            error.exit_code()
        }
    }
}

fn start_log() {
    let filter = EnvFilter::try_from_env(LOG_VARIABLE).unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(io::stderr().is_terminal())
        .with_writer(io::stderr)
        .init();
}
