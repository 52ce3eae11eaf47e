//! Simulated sidecars, hundreds of them in one process. Each has the real balancer and the real discovery client,
//! which uses loopback sockets. Calls and attempts are simulated in memory.

mod attempts;
mod convergence_times;
mod counters;
mod endpoints;
mod error;
mod fleet;
mod fleet_state;
mod load;
mod milestones;
mod pending_calls;
mod sidecar;
mod sidecar_plan;
mod thread;
mod usage;

pub use convergence_times::ConvergenceTimes;
pub use error::{FleetError, InvalidSettings};
pub use fleet::SimulatedFleet;
pub use load::SimulatedLoad;
pub use usage::{FleetUsage, SecondCounts};
