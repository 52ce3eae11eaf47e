//! The sidecar, which forwards its callers' requests to the endpoints that the balancer in [`policy`](crate::policy)
//! chooses.
//!
//! The sidecar consists of layers. Each layer imports only the layers above it in this table:
//!
//! | layer | files |
//! | --- | --- |
//! | foundations | `log.rs`, `admin_state.rs`, `sockets.rs`, `descriptors.rs`, `memory.rs`, `memory_costs.rs`, `process_memory.rs`, `metrics.rs`, `counters.rs`, `shutdown_deadline.rs` |
//! | bodies | `body/` |
//! | connections | `endpoint/`: to endpoints; `caller/`: from callers; `hot_restart/`: to other processes of this sidecar |
//! | requests and attempts | `node/`: owns their state; nothing else calls the balancer |
//! | interfaces | `server/`: for callers; `operators/`: for operators; `listener_handover/`: for the new process of a hot restart; `report.rs`: the counters line of the log |
//! | process | `process.rs`: start and signals; `shutdown.rs`: serving until SIGTERM, and the graceful shutdown |

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
mod memory_costs;
mod metrics;
mod node;
mod operators;
mod process;
mod process_memory;
mod report;
mod server;
mod shutdown;
mod shutdown_deadline;
mod sockets;

pub(crate) use operators::Command as OperatorCommand;
pub use process::main;
