//! The commands that call a running sidecar at its second address.

use super::output::{Outcome, bad_input, failed, line, print};
use crate::configuration::{Config, ConfigError, FILE_VARIABLE};
use clap::Args;
use std::fmt;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

/// The sidecar answers within 1 s.
const ANSWER_TIME: Duration = Duration::from_secs(3);
/// The largest answer: figures of some hundred classes.
const LARGEST_ANSWER: u64 = 1 << 20;
/// The last line of the figures.
const METRICS_END: &str = "END";

/// Where a running sidecar is called.
#[derive(Args)]
pub(super) struct SecondAddress {
    /// The sidecar's second address; `ROUTER_ADMIN_ADDR` or that of the configuration where it is not given.
    #[arg(long, value_name = "ADDRESS")]
    admin: Option<SocketAddr>,
    /// The configuration's file.
    #[arg(long, value_name = "FILE", env = FILE_VARIABLE)]
    config: Option<PathBuf>,
}

/// One call of the second address.
#[derive(Clone, Copy, Debug)]
pub(super) enum OperatorCall<'a> {
    /// Whether it is ready.
    Ready,
    /// Its figures.
    Stats,
    /// Empty it of callers.
    Drain,
    /// Back to work.
    Undrain,
    /// Keep an endpoint free of new requests.
    Disable(&'a str),
    /// Use an endpoint again.
    Enable(&'a str),
}

impl fmt::Display for OperatorCall<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OperatorCall::Ready => f.write_str("READY"),
            OperatorCall::Stats => f.write_str("STATS"),
            OperatorCall::Drain => f.write_str("DRAIN"),
            OperatorCall::Undrain => f.write_str("UNDRAIN"),
            OperatorCall::Disable(endpoint) => write!(f, "DISABLE {endpoint}"),
            OperatorCall::Enable(endpoint) => write!(f, "ENABLE {endpoint}"),
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
    #[error("{address}: {failure}")]
    Connection {
        address: SocketAddr,
        failure: io::Error,
    },
}

impl CallError {
    fn outcome(&self) -> Outcome {
        match self {
            CallError::NoAddress | CallError::Config(_) => bad_input(self),
            CallError::Connection { .. } => failed(self),
        }
    }
}

/// Makes one call and prints its answer; 1 where that is no.
pub(super) fn call(address: &SecondAddress, call: OperatorCall<'_>) -> Outcome {
    match resolve(address).and_then(|address| ask(address, call)) {
        Ok(answer) if answer.starts_with("YES") => print(&answer.trim_end()),
        Ok(answer) => failed(&answer.trim_end()),
        Err(error) => error.outcome(),
    }
}

/// Shows whether the sidecar is ready, and its figures.
pub(super) fn status(address: &SecondAddress) -> Outcome {
    let answers = resolve(address).and_then(|address| {
        Ok((
            ask(address, OperatorCall::Ready)?,
            ask(address, OperatorCall::Stats)?,
        ))
    });
    let (ready, metrics) = match answers {
        Ok(answers) => answers,
        Err(error) => return error.outcome(),
    };
    line(&format!("ready: {}", ready.trim_end()));
    let metrics = metrics.lines().filter(|line| *line != METRICS_END);
    metrics.for_each(|figure| line(&figure));
    Outcome::Done
}

fn resolve(address: &SecondAddress) -> Result<SocketAddr, CallError> {
    if let Some(admin) = address.admin {
        return Ok(admin);
    }
    if let Some(admin) = Config::admin_from_environment()? {
        return Ok(admin);
    }
    let file = address.config.as_ref().ok_or(CallError::NoAddress)?;
    Config::from_file(file)?.admin.ok_or(CallError::NoAddress)
}

fn ask(address: SocketAddr, call: OperatorCall<'_>) -> Result<String, CallError> {
    exchange(address, call).map_err(|failure| CallError::Connection { address, failure })
}

fn exchange(address: SocketAddr, call: OperatorCall<'_>) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, ANSWER_TIME)?;
    stream.set_read_timeout(Some(ANSWER_TIME))?;
    stream.set_write_timeout(Some(ANSWER_TIME))?;
    stream.write_all(format!("{call}\n").as_bytes())?;
    let mut answer = String::new();
    stream.take(LARGEST_ANSWER).read_to_string(&mut answer)?;
    if answer.is_empty() {
        Err(io::ErrorKind::UnexpectedEof.into())
    } else {
        Ok(answer)
    }
}
