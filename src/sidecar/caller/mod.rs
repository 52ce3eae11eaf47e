//! Callers' connections.
//!
//! [`RequestReader`] validates request heads as they arrive. [`ConnectionState`] tracks the phase of each connection.
//! [`CallerTable`] decides which connections close.

mod arrival;
mod connection_state;
mod drain_state;
mod flush_counter;
mod head;
mod persistence;
mod phase;
mod read_position;
mod request_reader;
mod table;

pub use arrival::CallerArrival;
pub use connection_state::{ConnectionState, ResponseKind};
pub use drain_state::DrainState;
pub use head::HeadError;
pub use persistence::Persistence;
pub use request_reader::{RequestReader, client_disconnected};
pub use table::{AddedCaller, Admission, CallerTable, EvictionGain};
