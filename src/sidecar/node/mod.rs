//! The node, which owns one balancer and the state of all requests. Nothing else calls that balancer.
//!
//! | file | contents |
//! | --- | --- |
//! | `state.rs` | the components below, the balancer, and the queue of events |
//! | `open_requests.rs`, `open_request.rs` | open requests: replies, attempts in flight, deadlines |
//! | `endpoints.rs` | the listed endpoints, the watches on discovery, the wait for the first list |
//! | `list_status.rs` | how current the list is, and how often discovery failed |
//! | `connections.rs` | callers' connections and their drain, idle connections to endpoints, the descriptor budget |
//! | `memory.rs` | the memory of callers' connections, requests and bodies |
//! | `hot_restart.rs` | the other processes of this sidecar, and the shared directory |
//! | `active_configuration.rs` | the configuration in force and the settings before it |
//!
//! Most other files are the node's interfaces: `requests.rs` to callers, `endpoint_host.rs` to attempts and health
//! checks, `discovery.rs` to the discovery client, `process_messages.rs` to the other processes, and `operators.rs`,
//! `reload.rs` and `report.rs` to the operators. `actions.rs` and `attempts.rs` execute the balancer's actions.
//!
//! Callers' connections, attempts and discovery run in local tasks and reach the node through [`NodeHandle`]. Its
//! methods borrow the node, pass an event to the balancer, execute the balancer's actions and release the node. No
//! borrow lasts across an await.

mod actions;
mod active_configuration;
mod attempts;
mod connections;
mod discovery;
mod endpoint_host;
mod endpoints;
mod hot_restart;
mod list_handover;
mod list_status;
mod memory;
mod open_request;
mod open_requests;
mod operators;
mod process_messages;
mod reload;
mod report;
mod requests;
mod sent_requests;
mod state;

pub use active_configuration::ResolvedSettings;
pub use connections::CallerPermit;
pub use memory::RequestSize;
pub use open_request::{FinalAnswer, SubmitError};
pub use operators::UnknownEndpoint;
pub use process_messages::AcceptStatus;
pub use report::NodeReport;
pub use state::{NodeHandle, StartMode, StartOptions};

#[cfg(test)]
mod first_list_tests;
