//! The listener hand-over of a hot restart: the old process passes its listening socket to the new one, under load.
//!
//! 1. The old process listens on a Unix socket in the shared directory ([`serve_new_processes`]).
//! 2. The new process connects there and receives the callers' listening socket itself ([`request_listener`]). The kernel's
//!    backlog is never closed: a connection in it is accepted by whichever process accepts next.
//! 3. Once the new process is ready it says so ([`take_over`]). The old one stops accepting, and closes each connection
//!    with its next response.
//! 4. Until either process ends, both exchange [`ProcessMessage`](super::hot_restart::ProcessMessage)s over the stream:
//!    among others how many connections they have open, as they share one limit.

mod descriptor_passing;
mod listen;
mod message_exchange;
mod new_process;
mod old_process;

pub use listen::{PortSharing, listen};
pub use new_process::{OldProcess, request_listener, take_over};
pub use old_process::serve_new_processes;
