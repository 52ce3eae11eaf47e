//! The command line of the program. Without a command the program serves.

mod check;
mod configuration_file;
mod diff;
mod explain;
mod operator_commands;
mod output;

use crate::configuration::FILE_VARIABLE;
use crate::sidecar::OperatorCommand;
use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use clap_mangen::Man;
use operator_commands::OperatorOptions;
use output::Outcome;
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;

/// The name of the program in the help, the completions and the manual page.
const PROGRAM_NAME: &str = "balancer-sidecar";

/// A sidecar that balances the requests of a service over endpoints, with overload control.
///
/// Without a command it serves, with the configuration that `ROUTER_CONFIG` names.
#[derive(Parser)]
#[command(name = PROGRAM_NAME, version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Reports all that is wrong with a configuration, one error a line, and warns of unknown keys.
    Check(ConfigurationOptions),
    /// Shows the configuration in effect: each value with its unit and its origin.
    Explain(ConfigurationOptions),
    /// Shows what another configuration would change in a running sidecar with SIGHUP, what needs a restart, and what
    /// would be rejected.
    Diff {
        /// The configuration that the sidecar runs with.
        old: PathBuf,
        /// The other configuration.
        new: PathBuf,
    },
    /// Shows whether the sidecar is ready, and its metrics.
    Status(OperatorOptions),
    /// Drains the sidecar of callers; the process keeps running.
    Drain(OperatorOptions),
    /// Ends a drain: the sidecar accepts callers again.
    Undrain(OperatorOptions),
    /// Stops new requests to an endpoint, whatever the endpoint list says.
    Disable {
        /// The name of the endpoint in discovery.
        endpoint: String,
        #[command(flatten)]
        options: OperatorOptions,
    },
    /// Allows new requests to an endpoint again.
    Enable {
        /// The name of the endpoint in discovery.
        endpoint: String,
        #[command(flatten)]
        options: OperatorOptions,
    },
    /// Writes completions for a shell to standard output.
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
    #[arg(long, value_name = "FILE", env = FILE_VARIABLE)]
    config: PathBuf,
}

/// Runs the command that the arguments name, or serves if they name none.
#[must_use]
pub fn main() -> ExitCode {
    // Without arguments clap is not called at all, which saves the serving process the memory for parsing.
    if std::env::args_os().len() <= 1 {
        return crate::sidecar::main();
    }
    match Arguments::parse().command {
        Some(command) => run(command).exit_code(),
        None => crate::sidecar::main(),
    }
}

fn run(command: Command) -> Outcome {
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

fn write_completions(shell: Shell) -> Outcome {
    let mut arguments = Arguments::command();
    clap_complete::generate(shell, &mut arguments, PROGRAM_NAME, &mut io::stdout());
    Outcome::Success
}

fn write_manual_page() -> Outcome {
    let mut page = Vec::new();
    let rendered = Man::new(Arguments::command()).render(&mut page);
    match rendered.and_then(|()| io::stdout().write_all(&page)) {
        Ok(()) => Outcome::Success,
        Err(error) => output::report_failure(&error),
    }
}
