//! Open-loop callers. They send each request at its arrival time, however many requests are pending. Latencies are
//! measured from the arrival time and include delays before the sending (no coordinated omission).
//!
//! Connections are reused: a request is sent on the idle connection to its target that was used last, or on a new one
//! if none is idle. If the peer closes a reused connection before the first byte of the response, the request is sent
//! again on a new connection. Responses need a `Content-Length`. A request counts as failed if its response has none,
//! for example because it is chunked.

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

/// Runs a load to its end on the calling thread and returns the result of each target, in the order of the plan. The
/// load ends when all requests of the measurement have ended.
///
/// # Errors
/// Returns an error if the event loop cannot be set up or cannot wait for events.
pub fn run(plan: &LoadPlan) -> io::Result<Vec<TargetResult>> {
    EventLoop::new(plan)?.run()
}
