//! Upgrades: several processes that are one sidecar for a while, and what they share.
//!
//! The hand-over itself is in [`handover`](super::handover).

mod message;
mod other_processes;
mod shared_directory;

pub use message::ProcessMessage;
pub use other_processes::{OtherProcessId, OtherProcesses, ProcessRole};
pub use shared_directory::SharedDirectory;
