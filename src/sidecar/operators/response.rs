//! Responses to operators' commands.

use super::command::CommandError;
use crate::sidecar::node::UnknownEndpoint;
use std::fmt;

/// The last line of the metrics.
const METRICS_END: &str = "END";

/// A response to a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response {
    /// The answer to the question is yes, or the command was executed.
    Yes,
    /// The answer to the question is no, or the command cannot be executed.
    No(NegativeReason),
    /// The metrics, one per line.
    Metrics(String),
}

/// The reason for a negative response. The texts are part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NegativeReason {
    /// The sidecar is not ready to serve.
    #[error("not ready to serve")]
    NotReady,
    /// The node does not know the endpoint.
    #[error(transparent)]
    UnknownEndpoint(#[from] UnknownEndpoint),
    /// The line is not a command.
    #[error(transparent)]
    InvalidCommand(#[from] CommandError),
}

impl<E: Into<NegativeReason>> From<Result<(), E>> for Response {
    fn from(result: Result<(), E>) -> Self {
        match result {
            Ok(()) => Response::Yes,
            Err(error) => Response::No(error.into()),
        }
    }
}

impl fmt::Display for Response {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Response::Yes => writeln!(f, "YES"),
            Response::No(reason) => writeln!(f, "NO {reason}"),
            Response::Metrics(metrics) => writeln!(f, "{metrics}{METRICS_END}"),
        }
    }
}
