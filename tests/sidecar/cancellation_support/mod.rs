//! Helpers for the tests of clients that leave while their request waits.

mod clients;
mod holding;
mod late;
mod replacement;

pub use clients::*;
pub use holding::*;
pub use late::*;
pub use replacement::*;
