//! The callers' side of the sidecar: accepts connections, reads requests, and answers each of them once.

mod caller_connection;
mod connection;
mod forward;
mod listener;
mod parsed_request;
mod pending_request;
mod reply;
mod request;
mod request_error;
mod service;

pub use listener::{accept, accept_backlog};
