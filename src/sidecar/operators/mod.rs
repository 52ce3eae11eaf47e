//! The operators' address: one command a connection, in one line of text, answered with `YES`, `NO` or the metrics.
//!
//! It shares only the node with the callers' side. Its connections are limited on their own, so that many callers keep no
//! operator out; and of those, the oldest that has sent no command closes for the next one.

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
