//! The simulator's wire and the adapter that speaks it: many instances of the decision module in one process.
//!
//! The wire is lines of text, `message name=value name=value`. Messages come in batches, from `frame` to
//! `go`; each batch gets one reply, a line for each action and `ok` at its end.

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
pub use error::WireError;
pub use instance::InstanceNumber;
pub use message::{Message, parse_message};
