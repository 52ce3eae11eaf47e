//! The commands `status`, `drain`, `undrain`, `disable` and `enable`, which are sent to the operators' address of a
//! running sidecar.

use super::output::{CommandOutcome, print_line, print_result, report_bad_input, report_failure};
use crate::configuration::{CONFIGURATION_FILE_VARIABLE, Config, ConfigError};
use crate::sidecar::OperatorCommand;
use clap::Args;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

/// The time limit for connecting, for each write and for each read. The sidecar answers within 1 s.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum length of an answer, in bytes. It is enough for the metrics of several hundred classes.
const MAX_ANSWER_LENGTH: u64 = 1 << 20;
/// The prefix of an answer that reports success.
const SUCCESS_PREFIX: &str = "YES";
/// The last line of the metrics.
const METRICS_END: &str = "END";

/// Options that name the operators' address of a running sidecar.
#[derive(Args)]
pub(super) struct OperatorOptions {
    /// The operators' address of the sidecar. Default: `ROUTER_ADMIN_ADDR`, or else `admin_addr` of the configuration.
    #[arg(long, value_name = "ADDRESS")]
    admin: Option<SocketAddr>,
    /// The configuration file.
    #[arg(long, value_name = "FILE", env = CONFIGURATION_FILE_VARIABLE)]
    config: Option<PathBuf>,
}

/// The reason why a command has no answer.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(
        "no operators' address: give --admin, ROUTER_ADMIN_ADDR, or a configuration with admin_addr"
    )]
    NoAddress,
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error("{address}: {source}")]
    Connection {
        address: SocketAddr,
        source: io::Error,
    },
}

impl CommandError {
    /// Prints the error and returns the result of the command.
    fn report(&self) -> CommandOutcome {
        match self {
            CommandError::NoAddress | CommandError::Config(_) => report_bad_input(self),
            CommandError::Connection { .. } => report_failure(self),
        }
    }
}

/// Sends a command to the sidecar and prints the answer. Fails if the answer does not report success.
pub(super) fn send(options: &OperatorOptions, command: OperatorCommand<'_>) -> CommandOutcome {
    match operators_address(options).and_then(|address| exchange(address, command)) {
        Ok(answer) if answer.starts_with(SUCCESS_PREFIX) => print_result(&answer.trim_end()),
        Ok(answer) => report_failure(&answer.trim_end()),
        Err(error) => error.report(),
    }
}

/// Prints the readiness of the sidecar and its metrics.
pub(super) fn status(options: &OperatorOptions) -> CommandOutcome {
    let answers = operators_address(options).and_then(|address| {
        let readiness = exchange(address, OperatorCommand::Ready)?;
        let metrics = exchange(address, OperatorCommand::Stats)?;
        Ok((readiness, metrics))
    });
    let (readiness, metrics) = match answers {
        Ok(answers) => answers,
        Err(error) => return error.report(),
    };
    print_line(&format!("ready: {}", readiness.trim_end()));
    for metric in metrics.lines().filter(|line| *line != METRICS_END) {
        print_line(&metric);
    }
    CommandOutcome::Success
}

fn operators_address(options: &OperatorOptions) -> Result<SocketAddr, CommandError> {
    if let Some(address) = options.admin {
        return Ok(address);
    }
    if let Some(address) = Config::admin_address_from_environment()? {
        return Ok(address);
    }
    let file = options.config.as_ref().ok_or(CommandError::NoAddress)?;
    Config::from_file(file)?
        .admin_address
        .ok_or(CommandError::NoAddress)
}

fn exchange(address: SocketAddr, command: OperatorCommand<'_>) -> Result<String, CommandError> {
    send_and_receive(address, command)
        .map_err(|source| CommandError::Connection { address, source })
}

fn send_and_receive(address: SocketAddr, command: OperatorCommand<'_>) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, EXCHANGE_TIMEOUT)?;
    stream.set_read_timeout(Some(EXCHANGE_TIMEOUT))?;
    stream.set_write_timeout(Some(EXCHANGE_TIMEOUT))?;
    stream.write_all(format!("{command}\n").as_bytes())?;
    let mut answer = String::new();
    stream.take(MAX_ANSWER_LENGTH).read_to_string(&mut answer)?;
    if answer.is_empty() {
        Err(io::ErrorKind::UnexpectedEof.into())
    } else {
        Ok(answer)
    }
}
