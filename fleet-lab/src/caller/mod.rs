//! Open-loop callers. Requests are sent at their arrival times regardless of pending ones, and latencies are measured
//! from the arrival time, so that waiting does not hide latency (no coordinated omission).
//!
//! Connections are reused: a request is sent on the idle connection to its target that was used last, or on a new one
//! if none is idle. A request on a reused connection that the peer closes before the first byte of the answer is sent
//! again on a new connection. Answers need a `Content-Length`; one without it, also a chunked one, counts as failed.

mod connection;
mod connection_table;
mod event_loop;
mod plan;
mod poller;
mod request;
mod response;
mod result;
mod schedule;

pub use plan::{LoadPlan, LoadTarget};
pub use result::TargetResult;

use event_loop::EventLoop;
use std::io;

/// Runs a load to its end on the calling thread; returns the result of each target, in order. The load ends when all
/// requests of the measurement have ended.
///
/// # Errors
/// Fails where the event loop cannot be set up or cannot wait for events.
pub fn run(plan: &LoadPlan) -> io::Result<Vec<TargetResult>> {
    EventLoop::new(plan)?.run()
}
