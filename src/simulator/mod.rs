//! The simulator's protocol and its adapter, which hosts many instances of the [`Balancer`](crate::policy::Balancer) in
//! one process.
//!
//! The protocol consists of lines of text, `message name=value name=value`. Messages come in batches, from `frame` to
//! `go`. Each batch gets one reply: a line for each action, then `ok`.
//!
//! The names in the messages are the terms that the operators use. `message`, `event` and `message_fields` convert them
//! to the terms of the balancer, and `action` converts those back.

mod action;
mod adapter;
mod endpoint_lists;
mod error;
mod event;
mod instance;
mod message;
mod message_fields;

pub use action::format_action;
pub use adapter::{AdapterError, serve};
pub use error::MessageError;
pub use instance::InstanceNumber;
pub use message::{Message, parse_message};
