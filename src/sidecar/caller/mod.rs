//! Callers' connections: what comes in on them, how they stand, and which of them have to go.

mod connection_state;
mod drain_state;
mod head;
mod request_reader;
mod table;

pub use connection_state::{ConnectionState, HeadError};
pub use drain_state::DrainState;
pub use request_reader::{RequestReader, client_disconnected};
pub use table::{AcceptedCaller, CallerTable};
