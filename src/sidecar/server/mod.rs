//! The server for callers, which accepts connections, reads requests, and answers each request once.

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
mod streamed_reply;

pub use listener::{accept, accept_backlog};
