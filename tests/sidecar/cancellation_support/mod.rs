//! Helpers for the tests of clients that leave while their request waits.

mod clients;
mod closes;
mod holding;
mod late;
mod replacement;
mod sockets;

pub use clients::*;
pub use closes::*;
pub use holding::*;
pub use late::*;
pub use replacement::*;
pub use sockets::*;
