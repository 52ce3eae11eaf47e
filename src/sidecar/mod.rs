//! The sidecar: one program that balances its callers' requests over endpoints, as the decision module says.
//!
//! Its layers, of which each imports those above it alone:
//!
//! | layer | files |
//! | --- | --- |
//! | foundations | `log.rs`, `admin_state.rs`, `clock.rs`, `sockets.rs`, `descriptors.rs`, `memory.rs`, `metrics.rs`, `counters.rs` |
//! | bodies | `body/` |
//! | connections | `endpoint/`: to endpoints; `caller/`: of callers; `hot_restart/`: to other processes |
//! | requests and attempts | `node/`: the one owner of their state, and the only place that calls the decision module |
//! | addresses | `server/`: the callers'; `operators/`: the operators'; `listener_handover/`: the new process's; `report.rs`: the log |
//! | process | `process.rs`: start and signals; `shutdown.rs`: serving until SIGTERM and the graceful shutdown |

#[macro_use]
mod log;

mod admin_state;
mod body;
mod caller;
mod clock;
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

pub use process::main;
