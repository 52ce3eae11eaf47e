//! The sidecar: forwards its callers' requests to endpoints, as the balancer in [`policy`](crate::policy) decides.
//!
//! Its layers, each of which imports only those above it:
//!
//! | layer | files |
//! | --- | --- |
//! | foundations | `log.rs`, `admin_state.rs`, `sockets.rs`, `descriptors.rs`, `memory.rs`, `metrics.rs`, `counters.rs` |
//! | bodies | `body/` |
//! | connections | `endpoint/`: to endpoints; `caller/`: of callers; `hot_restart/`: to other processes |
//! | requests and attempts | `node/`: the owner of their state, and the only caller of the balancer |
//! | addresses | `server/`: the callers'; `operators/`: the operators'; `listener_handover/`: the new process's; `report.rs`: the log |
//! | process | `process.rs`: start and signals; `shutdown.rs`: serving until SIGTERM and the graceful shutdown |

#[macro_use]
mod log;

mod admin_state;
mod body;
mod caller;
mod counters;
mod descriptors;
mod endpoint;
mod hot_restart;
mod listener_handover;
mod memory;
mod metrics;
mod node;
mod operators;
mod process;
mod report;
mod server;
mod shutdown;
mod sockets;

pub(crate) use operators::Command as OperatorCommand;
pub use process::main;
