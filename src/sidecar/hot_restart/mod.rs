//! Hot restart, in which several processes run as one sidecar for a while: the registry of the processes, their
//! messages and their shared directory.
//!
//! The node uses this module. The [listener hand-over](super::listener_handover), in turn, uses the node.

mod disabled_endpoints_file;
mod message;
mod other_processes;
mod received_list;
mod shared_directory;

pub use message::{ProcessMessage, ServingEndpoints};
pub use other_processes::{OtherProcessId, OtherProcesses, ProcessRole};
pub use received_list::ReceivedList;
pub use shared_directory::SharedDirectory;
