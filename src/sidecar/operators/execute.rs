//! The execution of operators' commands on the node.

use super::command::{Command, CommandError};
use super::response::{NegativeReason, Response};
use crate::sidecar::admin_state::AdminState;
use crate::sidecar::node::NodeHandle;

/// Executes the command in a line. `line` is `None` if no complete line was received.
pub fn execute_line(node: &NodeHandle, line: Option<&str>) -> Response {
    match line
        .ok_or(CommandError::InvalidLine)
        .and_then(Command::parse)
    {
        Ok(command) => execute(node, command),
        Err(error) => Response::No(error.into()),
    }
}

fn execute(node: &NodeHandle, command: Command<'_>) -> Response {
    match command {
        Command::Ready if node.borrow().is_ready() => Response::Yes,
        Command::Ready => Response::No(NegativeReason::NotReady),
        Command::Stats => Response::Metrics(metrics(node)),
        Command::Drain => {
            node.drain();
            Response::Yes
        }
        Command::Undrain => {
            node.undrain();
            Response::Yes
        }
        Command::Disable(endpoint) => node
            .set_admin_state(&endpoint.into(), AdminState::Disabled)
            .into(),
        Command::Enable(endpoint) => node
            .set_admin_state(&endpoint.into(), AdminState::Enabled)
            .into(),
    }
}

fn metrics(node: &NodeHandle) -> String {
    let mut text = String::new();
    node.borrow().write_metrics(&mut text);
    text
}
