//! Open-loop callers: requests are sent when their time comes, however long earlier ones take, and each latency is
//! counted from the moment at which its request was due, so that waiting does not hide latency (no coordinated
//! omission).
//!
//! Callers keep their connections, and a request goes on the idle one to its target that was used last, or on a new one
//! where none is idle. A request on a kept connection that the other side closes before an answer's first byte is sent
//! once more on a new connection. Answers need a `Content-Length`: one without, a chunked one too, counts as failed.

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

/// Runs a load to its end on the calling thread; one result for each target, in order. It ends when all requests that
/// were due within the measurement have ended.
///
/// # Errors
/// The event loop could not be set up, or a wait failed.
pub fn run(plan: &LoadPlan) -> io::Result<Vec<TargetResult>> {
    EventLoop::new(plan)?.run()
}
