//! Hot restart: several processes that are one sidecar for a while, and what they share.
//!
//! These are the parts that the node builds upon. The [listener hand-over](super::listener_handover) builds upon the node.

mod disabled_endpoints_file;
mod message;
mod other_processes;
mod shared_directory;

pub use message::ProcessMessage;
pub use other_processes::{OtherProcessId, OtherProcesses, ProcessRole};
pub use shared_directory::SharedDirectory;
