//! The operators' address. Each connection carries one command in one line of text, which is answered with `YES`, `NO`
//! or the metrics.
//!
//! This module shares only the node with the server for callers. Operators' connections have a separate limit, so many
//! callers cannot lock operators out. At the limit, the oldest connection that has sent no command closes for a new
//! one.

mod command;
mod connection;
mod execute;
mod listener;
mod permits;
mod response;
mod waiting_connections;

pub use command::Command;
pub use listener::{listen, serve};
pub use permits::MAX_CONNECTIONS;
