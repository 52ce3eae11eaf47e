//! The commands `scale`, `run`, `check` and `tier`.

mod check;
mod run;
mod tier;

use clap::{Args, Parser, Subcommand};
use fleet_lab::experiment::ExperimentError;
use fleet_lab::loopback_tier::TierError;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code of a run that failed.
const RUN_FAILED: u8 = 1;
/// Exit code for invalid input. Clap uses the same code for invalid arguments.
const BAD_INPUT: u8 = 2;

/// Measures the cost and the behaviour of sidecars on one machine.
#[derive(Parser)]
#[command(name = "fleet-lab", version)]
pub struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs all experiments of a folder, ordered by the names of their files.
    Scale {
        /// The folder of experiments.
        #[arg(long, value_name = "DIR", default_value = "fleet-lab/experiments")]
        experiments: PathBuf,
        /// The name of an experiment to run; may be given several times. All are run by default.
        #[arg(long, value_name = "NAME")]
        only: Vec<String>,
        #[command(flatten)]
        options: RunOptions,
    },
    /// Runs the experiments of these files, in this order.
    Run {
        /// Experiment files.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        #[command(flatten)]
        options: RunOptions,
    },
    /// Starts endpoints and discovery on loopback, and writes the configuration of a sidecar in front of them.
    Tier(TierOptions),
    /// Checks experiment files and prints each invalid value.
    Check {
        /// Experiment files.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
}

/// Options of the command `tier`.
#[derive(Args)]
struct TierOptions {
    /// The file to which the sidecar's configuration is written.
    #[arg(long, value_name = "FILE", default_value = "target/lab/sidecar.json")]
    configuration: PathBuf,
    /// The address at which the sidecar is to listen for callers.
    #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:7070")]
    listen: SocketAddr,
    /// The address at which the sidecar is to listen for operators.
    #[arg(long, value_name = "ADDRESS", default_value = "127.0.0.1:7071")]
    admin: SocketAddr,
    /// The number of endpoints.
    #[arg(long, value_name = "COUNT", default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=100))]
    endpoints: u32,
    /// The number of minutes for which the tier runs.
    #[arg(long, value_name = "MINUTES", default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=60))]
    minutes: u64,
}

/// Options of the commands that run experiments.
#[derive(Args)]
struct RunOptions {
    /// The sidecar's executable.
    #[arg(
        long,
        value_name = "PATH",
        default_value = "target/release/balancer-sidecar"
    )]
    program: PathBuf,
    /// The folder to which `results.json` and `results.md` are written.
    #[arg(long, value_name = "DIR", default_value = "target/lab")]
    output: PathBuf,
    /// The name of the program in the report; its path by default.
    #[arg(long, value_name = "TEXT")]
    label: Option<String>,
}

/// The reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// An experiment cannot be used.
    #[error(transparent)]
    Experiment(#[from] ExperimentError),
    /// Some of the checked files cannot be used. The reasons were printed.
    #[error("{unusable} of {checked} files cannot be used")]
    Check { unusable: usize, checked: usize },
    /// The folder contains no experiments.
    #[error("{} contains no experiments", .0.display())]
    NoExperiments(PathBuf),
    /// `--only` names an unknown experiment.
    #[error("no experiment is named {0}")]
    UnknownName(String),
    /// The sidecar program is missing or its path cannot be resolved.
    #[error("the sidecar program {} cannot be used: {source}", path.display())]
    Program { path: PathBuf, source: io::Error },
    /// The report could not be written.
    #[error("the report could not be written to {}: {source}", folder.display())]
    Write { folder: PathBuf, source: io::Error },
    /// The threads of the endpoints could not be started.
    #[error("the threads of the endpoints could not be started: {0}")]
    EndpointHost(#[source] io::Error),
    /// The tier could not be started.
    #[error("the tier could not be started: {0}")]
    Tier(#[from] TierError),
    /// The sidecar's configuration could not be written.
    #[error("the sidecar's configuration could not be written to {}: {source}", file.display())]
    WriteConfiguration { file: PathBuf, source: io::Error },
    /// Some experiments failed. The reasons were logged and are in the report.
    #[error("{failed} of {run} experiments failed")]
    Failed { failed: usize, run: usize },
}

impl CommandError {
    /// Returns the exit code: 2 for invalid input, 1 for a run that failed.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::Experiment(_)
            | CommandError::Check { .. }
            | CommandError::NoExperiments(_)
            | CommandError::UnknownName(_)
            | CommandError::Program { .. } => BAD_INPUT.into(),
            CommandError::Write { .. }
            | CommandError::WriteConfiguration { .. }
            | CommandError::EndpointHost(_)
            | CommandError::Tier(_)
            | CommandError::Failed { .. } => RUN_FAILED.into(),
        }
    }
}

impl Arguments {
    /// Runs the command.
    pub fn run(&self) -> Result<(), CommandError> {
        match &self.command {
            Command::Scale {
                experiments,
                only,
                options,
            } => run::scale(experiments, only, options),
            Command::Run { files, options } => run::run_files(files, options),
            Command::Tier(options) => tier::run(options),
            Command::Check { files } => check::check(files),
        }
    }
}
