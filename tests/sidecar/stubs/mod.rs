//! The program under test, and stubs of its callers, endpoints and discovery, all on loopback sockets.

mod caller;
mod config;
mod discovery;
mod endpoint;
mod manual_discovery;
mod message;
mod program;
pub mod raw_http;
mod response_gate;
mod restartable_endpoint;
mod scripted_endpoint;

pub use caller::*;
pub use config::*;
pub use discovery::*;
pub use endpoint::*;
pub use manual_discovery::*;
pub use message::*;
pub use program::*;
pub use response_gate::*;
pub use restartable_endpoint::*;
pub use scripted_endpoint::*;
