//! Sidecars under test. Each real sidecar is a process of the sidecar program. Hundreds of simulated sidecars share one
//! process.

mod child;
pub mod configuration;
mod error;
pub mod process;
pub mod simulated;

pub use error::{SidecarError, SidecarProblem};
