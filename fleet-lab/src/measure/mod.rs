//! Measurements: the resources that a process uses, and straight lines through values at several sizes.

mod process;
mod slope;

pub use process::{ProcessUsage, thread_processor_time};
pub use slope::{Point, Slope};
