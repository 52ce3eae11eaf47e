//! The commands that call a running sidecar at its operators' address.

use super::output::{Outcome, bad_input, failure, print, print_line};
use crate::configuration::{Config, ConfigError, FILE_VARIABLE};
use clap::Args;
use std::fmt;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

/// The time limit of each step of a call. The sidecar answers within 1 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum length of an answer, in bytes: enough for the metrics of some hundred classes.
const MAX_ANSWER_LENGTH: u64 = 1 << 20;
/// The beginning of an answer of success.
const SUCCESS_PREFIX: &str = "YES";
/// The last line of the metrics.
const METRICS_END: &str = "END";

/// Options that name the operators' address of a running sidecar.
#[derive(Args)]
pub(super) struct OperatorOptions {
    /// The operators' address of the sidecar. Default: `ROUTER_ADMIN_ADDR`, then `admin_addr` of the configuration.
    #[arg(long, value_name = "ADDRESS")]
    admin: Option<SocketAddr>,
    /// The configuration file.
    #[arg(long, value_name = "FILE", env = FILE_VARIABLE)]
    config: Option<PathBuf>,
}

/// A command to a running sidecar.
#[derive(Clone, Copy, Debug)]
pub(super) enum OperatorCommand<'a> {
    /// Asks whether the sidecar is ready.
    Ready,
    /// Asks for the metrics.
    Stats,
    /// Drains the sidecar of callers.
    Drain,
    /// Ends a drain.
    Undrain,
    /// Stops new requests to an endpoint.
    Disable(&'a str),
    /// Allows new requests to an endpoint again.
    Enable(&'a str),
}

/// Writes the line of the command.
impl fmt::Display for OperatorCommand<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OperatorCommand::Ready => f.write_str("READY"),
            OperatorCommand::Stats => f.write_str("STATS"),
            OperatorCommand::Drain => f.write_str("DRAIN"),
            OperatorCommand::Undrain => f.write_str("UNDRAIN"),
            OperatorCommand::Disable(endpoint) => write!(f, "DISABLE {endpoint}"),
            OperatorCommand::Enable(endpoint) => write!(f, "ENABLE {endpoint}"),
        }
    }
}

/// Why a call could not be made.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error(
        "no second address: give --admin, ROUTER_ADMIN_ADDR, or a configuration with admin_addr"
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

impl CallError {
    fn report(&self) -> Outcome {
        match self {
            CallError::NoAddress | CallError::Config(_) => bad_input(self),
            CallError::Connection { .. } => failure(self),
        }
    }
}

/// Makes one call and prints its answer. Fails where the sidecar refuses.
pub(super) fn call(options: &OperatorOptions, call: OperatorCommand<'_>) -> Outcome {
    match operators_address(options).and_then(|address| exchange(address, call)) {
        Ok(answer) if answer.starts_with(SUCCESS_PREFIX) => print(&answer.trim_end()),
        Ok(answer) => failure(&answer.trim_end()),
        Err(error) => error.report(),
    }
}

/// Prints whether the sidecar is ready, and its metrics.
pub(super) fn status(options: &OperatorOptions) -> Outcome {
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
    Outcome::Success
}

fn operators_address(options: &OperatorOptions) -> Result<SocketAddr, CallError> {
    if let Some(address) = options.admin {
        return Ok(address);
    }
    if let Some(address) = Config::admin_from_environment()? {
        return Ok(address);
    }
    let file = options.config.as_ref().ok_or(CallError::NoAddress)?;
    Config::from_file(file)?.admin.ok_or(CallError::NoAddress)
}

fn exchange(address: SocketAddr, call: OperatorCommand<'_>) -> Result<String, CallError> {
    send_and_receive(address, call).map_err(|source| CallError::Connection { address, source })
}

fn send_and_receive(address: SocketAddr, call: OperatorCommand<'_>) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, CALL_TIMEOUT)?;
    stream.set_read_timeout(Some(CALL_TIMEOUT))?;
    stream.set_write_timeout(Some(CALL_TIMEOUT))?;
    stream.write_all(format!("{call}\n").as_bytes())?;
    let mut answer = String::new();
    stream.take(MAX_ANSWER_LENGTH).read_to_string(&mut answer)?;
    if answer.is_empty() {
        Err(io::ErrorKind::UnexpectedEof.into())
    } else {
        Ok(answer)
    }
}
