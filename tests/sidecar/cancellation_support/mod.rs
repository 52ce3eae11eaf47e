//! Helpers for `client_cancellation.rs` and `client_disconnects.rs`, the tests of clients that disconnect while their
//! request waits.

mod connection_close;
mod full_backlog_endpoint;
mod lifecycle;
mod queueing_sidecar;
mod tcp_table;
mod waiting_client;

pub use connection_close::*;
pub use full_backlog_endpoint::*;
pub use lifecycle::*;
pub use queueing_sidecar::*;
pub use tcp_table::*;
pub use waiting_client::*;
