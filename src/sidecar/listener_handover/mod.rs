//! The listener hand-over of a hot restart. The old process passes its listening socket to the new one while it serves
//! callers.
//!
//! 1. The old process listens on a Unix socket in the shared directory ([`serve_new_processes`]).
//! 2. The new process connects to it and receives the callers' listening socket itself ([`request_listener`]). The
//!    kernel's backlog therefore stays open, and a connection in it is accepted by whichever process accepts next.
//! 3. The new process announces when it is ready ([`take_over`]). The old process then stops accepting, and closes each
//!    connection after its next response.
//! 4. Until either process ends, they exchange [`ProcessMessage`](super::hot_restart::ProcessMessage)s over the stream.
//!    They report, among other things, their numbers of open connections, because they share one limit.

mod descriptor_passing;
mod listen;
mod message_exchange;
mod new_process;
mod old_process;

pub use listen::{PortSharing, listen};
pub use new_process::{OldProcess, request_listener, take_over};
pub use old_process::serve_new_processes;
