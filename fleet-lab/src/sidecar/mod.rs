//! Sidecars under test: real ones, each a process of the built program, and simulated ones, hundreds in one process.

mod child;
pub mod configuration;
mod error;
pub mod process;
pub mod simulated;

pub use error::{SidecarError, SidecarProblem};
