//! Hollow sidecars: hundreds in one process, each with the real decision module and the real discovery client over
//! real loopback sockets, while its calls are answered in memory.

mod arrivals;
mod attempts;
mod calls;
mod clock;
mod counters;
mod endpoints;
mod fleet;
mod fleet_state;
mod load;
mod member;
mod milestones;
mod plan;
mod thread;
mod usage;

pub use arrivals::Arrivals;
pub use fleet::HollowFleet;
pub use load::HollowLoad;
pub use usage::{HollowSecond, HollowUsage};
