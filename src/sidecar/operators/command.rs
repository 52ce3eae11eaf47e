//! The commands of operators. The sidecar parses them, and the command line writes them.

use std::fmt;

/// A command, sent as one line of text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// Asks whether the sidecar is ready to serve.
    Ready,
    /// Requests the metrics.
    Stats,
    /// Starts to drain the sidecar, so that its callers move to others.
    Drain,
    /// Ends the drain.
    Undrain,
    /// Disables the endpoint with this id.
    Disable(&'a str),
    /// Enables the endpoint with this id.
    Enable(&'a str),
}

/// Formats the command as a line without a line break.
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

/// The reason why a line is not a command. The texts are part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The line is incomplete, too long or not UTF-8.
    #[error("this is no call of one line")]
    InvalidLine,
    /// The command takes one endpoint's id, but has none or further arguments.
    #[error("this call takes one endpoint's id")]
    EndpointExpected,
    /// The command takes no arguments, but has some.
    #[error("this call stands alone")]
    UnexpectedArgument,
    /// There is no such command.
    #[error("unknown call")]
    Unknown,
}

impl<'a> Command<'a> {
    /// Parses a line without its line break.
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
