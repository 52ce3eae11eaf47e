//! The command line of the program. Without a command, the program runs as the sidecar.

mod check;
mod configuration_file;
mod diff;
mod explain;
mod operator_commands;
mod output;

use crate::configuration::CONFIGURATION_FILE_VARIABLE;
use crate::sidecar::OperatorCommand;
use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use clap_mangen::Man;
use operator_commands::OperatorOptions;
use output::CommandOutcome;
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;

/// The name of the program in the help, the completions and the manual page.
const PROGRAM_NAME: &str = "balancer-sidecar";

/// A sidecar that balances the requests of a service over endpoints, with overload control.
///
/// Without a command it runs as the sidecar, with the configuration file that `ROUTER_CONFIG` names.
#[derive(Parser)]
#[command(name = PROGRAM_NAME, version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Reports every error in a configuration, one per line, and warns of unknown keys.
    Check(ConfigurationOptions),
    /// Shows the configuration in effect: each value with its unit and origin.
    Explain(ConfigurationOptions),
    /// Shows which changes in another configuration SIGHUP would apply, which need a restart, and which a reload would
    /// reject.
    Diff {
        /// The configuration file that the sidecar runs with.
        old: PathBuf,
        /// The configuration file to compare with it.
        new: PathBuf,
    },
    /// Shows whether the sidecar is ready, and its metrics.
    Status(OperatorOptions),
    /// Drains the sidecar: it accepts no more callers, but its process keeps running.
    Drain(OperatorOptions),
    /// Ends a drain: the sidecar accepts callers again.
    Undrain(OperatorOptions),
    /// Stops sending new requests to an endpoint, regardless of its status in the endpoint list.
    Disable {
        /// The name of the endpoint in discovery.
        endpoint: String,
        #[command(flatten)]
        options: OperatorOptions,
    },
    /// Allows new requests to a disabled endpoint again.
    Enable {
        /// The name of the endpoint in discovery.
        endpoint: String,
        #[command(flatten)]
        options: OperatorOptions,
    },
    /// Writes a completion script for a shell to standard output.
    Completions {
        /// The shell.
        shell: Shell,
    },
    /// Writes the manual page to standard output.
    Man,
    /// Writes the JSON Schema of the configuration to standard output.
    Schema,
}

/// Options that name a configuration.
#[derive(Args)]
struct ConfigurationOptions {
    /// The configuration file.
    #[arg(long, value_name = "FILE", env = CONFIGURATION_FILE_VARIABLE)]
    config: PathBuf,
}

/// Runs the command that the arguments name, or the sidecar if they name none.
#[must_use]
pub fn main() -> ExitCode {
    // Without arguments, clap is not used, because its parser would take memory in the sidecar's process.
    if std::env::args_os().len() <= 1 {
        return crate::sidecar::main();
    }
    match Arguments::parse().command {
        Some(command) => run(command).exit_code(),
        None => crate::sidecar::main(),
    }
}

fn run(command: Command) -> CommandOutcome {
    match command {
        Command::Check(options) => check::check(&options.config),
        Command::Explain(options) => explain::explain(&options.config),
        Command::Diff { old, new } => diff::diff(&old, &new),
        Command::Status(options) => operator_commands::status(&options),
        Command::Drain(options) => operator_commands::send(&options, OperatorCommand::Drain),
        Command::Undrain(options) => operator_commands::send(&options, OperatorCommand::Undrain),
        Command::Disable { endpoint, options } => {
            operator_commands::send(&options, OperatorCommand::Disable(&endpoint))
        }
        Command::Enable { endpoint, options } => {
            operator_commands::send(&options, OperatorCommand::Enable(&endpoint))
        }
        Command::Completions { shell } => write_completions(shell),
        Command::Man => write_manual_page(),
        Command::Schema => output::print_result(&format!("{:#}", crate::configuration::schema())),
    }
}

fn write_completions(shell: Shell) -> CommandOutcome {
    let mut arguments = Arguments::command();
    clap_complete::generate(shell, &mut arguments, PROGRAM_NAME, &mut io::stdout());
    CommandOutcome::Success
}

fn write_manual_page() -> CommandOutcome {
    let mut page = Vec::new();
    let rendered = Man::new(Arguments::command()).render(&mut page);
    match rendered.and_then(|()| io::stdout().write_all(&page)) {
        Ok(()) => CommandOutcome::Success,
        Err(error) => output::report_failure(&error),
    }
}
