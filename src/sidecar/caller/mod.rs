//! Callers' connections: what comes in on them, how they stand, and which of them have to go.

mod drain_state;
mod head;
mod inbound;
mod table;
mod traffic;

pub use drain_state::DrainState;
pub use inbound::{Inbound, client_left};
pub use table::CallerTable;
pub use traffic::{HeadFault, Traffic};
