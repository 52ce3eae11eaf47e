//! The callers' side: connections are accepted, requests read, and each gets its one answer.

mod caller_connection;
mod connection;
mod forward;
mod listener;
mod reply;
mod request;
mod request_error;

pub use listener::{accept, accept_backlog};
