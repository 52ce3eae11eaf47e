//! The program's commands. Without one it serves.

mod check;
mod diff;
mod explain;
mod file;
mod operator;
mod output;

use crate::configuration::FILE_VARIABLE;
use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use operator::{OperatorCall, SecondAddress};
use output::Outcome;
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;

/// A sidecar that balances a service's calls over endpoints, with overload control.
///
/// Without a command it serves, with the configuration that `ROUTER_CONFIG` names.
#[derive(Parser)]
#[command(name = "balancer-sidecar", version)]
struct Arguments {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Tells all that is wrong with a configuration, a line each; warns of unknown keys.
    Check(ConfigurationFile),
    /// Shows the configuration in effect: each value with its unit and where it came from.
    Explain(ConfigurationFile),
    /// Tells what another configuration would change in a running sidecar by SIGHUP, what would need a restart, and what would
    /// be turned down.
    Diff {
        /// The configuration that the sidecar runs with.
        old: PathBuf,
        /// The other one.
        new: PathBuf,
    },
    /// Shows whether the sidecar is ready, and its figures.
    Status(SecondAddress),
    /// Empties the sidecar of callers; the process runs on.
    Drain(SecondAddress),
    /// Takes a drained sidecar back to work.
    Undrain(SecondAddress),
    /// Keeps an endpoint free of new requests, whatever the list says.
    Disable {
        /// The endpoint's name in discovery.
        endpoint: String,
        #[command(flatten)]
        address: SecondAddress,
    },
    /// Uses an endpoint again.
    Enable {
        /// The endpoint's name in discovery.
        endpoint: String,
        #[command(flatten)]
        address: SecondAddress,
    },
    /// Writes completions for a shell to standard output.
    Completions {
        /// Which shell.
        shell: Shell,
    },
    /// Writes the manual page to standard output.
    Man,
    /// Writes the JSON Schema of the configuration to standard output.
    Schema,
}

/// A configuration.
#[derive(Args)]
struct ConfigurationFile {
    /// The configuration's file.
    #[arg(long, value_name = "FILE", env = FILE_VARIABLE)]
    config: PathBuf,
}

/// Runs the command that the arguments name, or serves where they name none.
#[must_use]
pub fn main() -> ExitCode {
    // Serving reads no arguments, and does not keep the memory that parsing them takes.
    if std::env::args_os().len() <= 1 {
        return crate::sidecar::main();
    }
    let Some(command) = Arguments::parse().command else {
        return crate::sidecar::main();
    };
    let outcome = match command {
        Command::Check(file) => check::check(&file.config),
        Command::Explain(file) => explain::explain(&file.config),
        Command::Diff { old, new } => diff::diff(&old, &new),
        Command::Status(address) => operator::status(&address),
        Command::Drain(address) => operator::call(&address, OperatorCall::Drain),
        Command::Undrain(address) => operator::call(&address, OperatorCall::Undrain),
        Command::Disable { endpoint, address } => {
            operator::call(&address, OperatorCall::Disable(&endpoint))
        }
        Command::Enable { endpoint, address } => {
            operator::call(&address, OperatorCall::Enable(&endpoint))
        }
        Command::Completions { shell } => {
            clap_complete::generate(
                shell,
                &mut Arguments::command(),
                "balancer-sidecar",
                &mut io::stdout(),
            );
            Outcome::Done
        }
        Command::Man => manual(),
        Command::Schema => output::print(&format!("{:#}", crate::configuration::schema())),
    };
    outcome.exit_code()
}

fn manual() -> Outcome {
    let mut page = Vec::new();
    let rendered = clap_mangen::Man::new(Arguments::command()).render(&mut page);
    match rendered.and_then(|()| io::stdout().write_all(&page)) {
        Ok(()) => Outcome::Done,
        Err(failure) => output::failed(&failure),
    }
}
