//! The callers' side of the sidecar: accepts connections, reads requests, and answers each of them once.

mod caller_connection;
mod connection;
mod forward;
mod listener;
mod reply;
mod request;
mod request_error;

pub use listener::{accept, accept_backlog};
