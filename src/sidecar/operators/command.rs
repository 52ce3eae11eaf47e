//! The commands that operators may send, parsed here and written by the command line.

use std::fmt;

/// A command, which is sent as one line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// Queries whether the sidecar is ready to serve.
    Ready,
    /// Queries the metrics.
    Stats,
    /// Drains the sidecar of callers.
    Drain,
    /// Ends a drain.
    Undrain,
    /// Disables the endpoint with this id.
    Disable(&'a str),
    /// Enables the endpoint with this id.
    Enable(&'a str),
}

/// Writes the line, without its end.
impl fmt::Display for Command<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Command::Ready => f.write_str("READY"),
            Command::Stats => f.write_str("STATS"),
            Command::Drain => f.write_str("DRAIN"),
            Command::Undrain => f.write_str("UNDRAIN"),
            Command::Disable(endpoint) => write!(f, "DISABLE {endpoint}"),
            Command::Enable(endpoint) => write!(f, "ENABLE {endpoint}"),
        }
    }
}

/// Why a line is not a command. The texts are part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The line is cut off, too long or not UTF-8.
    #[error("this is no call of one line")]
    InvalidLine,
    /// An endpoint's id is missing, or followed by something else.
    #[error("this call takes one endpoint's id")]
    EndpointExpected,
    /// A command without arguments is followed by something.
    #[error("this call stands alone")]
    UnexpectedArgument,
    /// There is no such command.
    #[error("unknown call")]
    Unknown,
}

impl<'a> Command<'a> {
    /// Parses a line, without its end.
    ///
    /// # Errors
    /// The line is not a command.
    pub fn parse(line: &'a str) -> Result<Self, CommandError> {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        match words[..] {
            ["READY"] => Ok(Command::Ready),
            ["STATS"] => Ok(Command::Stats),
            ["DRAIN"] => Ok(Command::Drain),
            ["UNDRAIN"] => Ok(Command::Undrain),
            ["DISABLE", endpoint] => Ok(Command::Disable(endpoint)),
            ["ENABLE", endpoint] => Ok(Command::Enable(endpoint)),
            ["DISABLE" | "ENABLE", ..] => Err(CommandError::EndpointExpected),
            ["READY" | "STATS" | "DRAIN" | "UNDRAIN", ..] => Err(CommandError::UnexpectedArgument),
            _ => Err(CommandError::Unknown),
        }
    }
}
